/** Tests of the counters. */
@NullMarked
package org.plantainwharf.metric;

import org.jspecify.annotations.NullMarked;
