/** plantainwharf: a request-serving system that runs on reclaimable hosts. */
@NullMarked
package org.plantainwharf;

import org.jspecify.annotations.NullMarked;
