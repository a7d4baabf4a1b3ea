/** Tests of the replicated log protocol. */
@NullMarked
package org.plantainwharf.consensus;

import org.jspecify.annotations.NullMarked;
