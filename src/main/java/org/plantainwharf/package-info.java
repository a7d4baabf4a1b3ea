/** plantainwharf: a serving system on reclaimable hosts. */
@NullMarked
package org.plantainwharf;

import org.jspecify.annotations.NullMarked;
