/** Tests of the stand-ins. */
@NullMarked
package org.plantainwharf.standin;

import org.jspecify.annotations.NullMarked;
