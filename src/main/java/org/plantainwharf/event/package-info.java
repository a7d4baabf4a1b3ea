/** Sealed event types that controllers react to. */
@NullMarked
package org.plantainwharf.event;

import org.jspecify.annotations.NullMarked;
