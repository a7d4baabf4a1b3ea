/** Tests of retries. */
@NullMarked
package org.plantainwharf.retry;

import org.jspecify.annotations.NullMarked;
