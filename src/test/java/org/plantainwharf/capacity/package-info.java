/** Tests of host starts and engine orders. */
@NullMarked
package org.plantainwharf.capacity;

import org.jspecify.annotations.NullMarked;
