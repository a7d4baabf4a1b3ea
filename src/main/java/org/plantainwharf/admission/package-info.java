/** Queues of admitted calls by rank and client account. */
@NullMarked
package org.plantainwharf.admission;

import org.jspecify.annotations.NullMarked;
