/** Drives decision code on a virtual clock and prints figures. */
@NullMarked
package org.plantainwharf.bench;

import org.jspecify.annotations.NullMarked;
