/** Capacity: host starts, choice of capacity pools by price and risk, and model orders for engines. */
@NullMarked
package org.plantainwharf.capacity;

import org.jspecify.annotations.NullMarked;
