/** The closed list of error kinds, and failures that carry them. */
@NullMarked
package org.plantainwharf.error;

import org.jspecify.annotations.NullMarked;
