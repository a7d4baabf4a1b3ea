/** Admission of calls: queues by destination, rank and client account, and capacity estimates. */
@NullMarked
package org.plantainwharf.admission;

import org.jspecify.annotations.NullMarked;
