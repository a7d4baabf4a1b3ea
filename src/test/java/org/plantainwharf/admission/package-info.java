/** Tests of admission. */
@NullMarked
package org.plantainwharf.admission;

import org.jspecify.annotations.NullMarked;
