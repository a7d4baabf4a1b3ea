/** Tests of the duty controllers. */
@NullMarked
package org.plantainwharf.duty;

import org.jspecify.annotations.NullMarked;
