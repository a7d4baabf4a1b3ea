/** The closed list of error kinds and the failures built from it. */
@NullMarked
package org.plantainwharf.error;

import org.jspecify.annotations.NullMarked;
