/** Counters of the daemon. */
@NullMarked
package org.plantainwharf.metric;

import org.jspecify.annotations.NullMarked;
