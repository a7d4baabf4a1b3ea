/** A caller's request as data, and the states it passes through. */
@NullMarked
package org.plantainwharf.call;

import org.jspecify.annotations.NullMarked;
