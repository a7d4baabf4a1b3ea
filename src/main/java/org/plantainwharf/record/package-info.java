/** Replicated records of orders and accepted work, and the controllers that use them. */
@NullMarked
package org.plantainwharf.record;

import org.jspecify.annotations.NullMarked;
