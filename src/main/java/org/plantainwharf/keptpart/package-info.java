/** Beginnings of prompts that engines keep in memory, weighed against the wait there. */
@NullMarked
package org.plantainwharf.keptpart;

import org.jspecify.annotations.NullMarked;
