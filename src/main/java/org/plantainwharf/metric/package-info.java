/** Counters of a daemon. */
@NullMarked
package org.plantainwharf.metric;

import org.jspecify.annotations.NullMarked;
