/** Duties that one daemon carries out at a time: usage reports and orders of capacity. */
@NullMarked
package org.plantainwharf.duty;

import org.jspecify.annotations.NullMarked;
