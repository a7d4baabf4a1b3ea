/** Sealed effect types that controllers request and other threads carry out. */
@NullMarked
package org.plantainwharf.effect;

import org.jspecify.annotations.NullMarked;
