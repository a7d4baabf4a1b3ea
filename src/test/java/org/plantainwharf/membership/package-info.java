/** Tests of membership. */
@NullMarked
package org.plantainwharf.membership;

import org.jspecify.annotations.NullMarked;
