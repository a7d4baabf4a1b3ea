/** Differences between two versions of a configuration, row by row. */
@NullMarked
package org.plantainwharf.difference;

import org.jspecify.annotations.NullMarked;
