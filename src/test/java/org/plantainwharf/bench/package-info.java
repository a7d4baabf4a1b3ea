/** Tests of the benchmark driver. */
@NullMarked
package org.plantainwharf.bench;

import org.jspecify.annotations.NullMarked;
