/** Ends of attempts: answers, retries within a budget, and failures. */
@NullMarked
package org.plantainwharf.retry;

import org.jspecify.annotations.NullMarked;
