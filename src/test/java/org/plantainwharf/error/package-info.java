/** Tests of the error kinds. */
@NullMarked
package org.plantainwharf.error;

import org.jspecify.annotations.NullMarked;
