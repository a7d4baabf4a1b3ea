/**
 * Drives the decision code and the replicated log on a virtual clock against small fakes and prints what it measures.
 */
@NullMarked
package org.plantainwharf.bench;

import org.jspecify.annotations.NullMarked;
