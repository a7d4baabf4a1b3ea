/** Tests of the benchmarks. */
@NullMarked
package org.plantainwharf.bench;

import org.jspecify.annotations.NullMarked;
