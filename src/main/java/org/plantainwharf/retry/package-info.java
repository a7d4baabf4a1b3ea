/** Retry budget and reasons. */
@NullMarked
package org.plantainwharf.retry;

import org.jspecify.annotations.NullMarked;
