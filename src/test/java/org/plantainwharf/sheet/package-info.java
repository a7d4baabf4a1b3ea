/** Digests and differences of sheets. */
@NullMarked
package org.plantainwharf.sheet;

import org.jspecify.annotations.NullMarked;
