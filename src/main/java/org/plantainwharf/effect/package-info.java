/** What to do: the sealed effects that controllers ask for and other threads carry out. */
@NullMarked
package org.plantainwharf.effect;

import org.jspecify.annotations.NullMarked;
