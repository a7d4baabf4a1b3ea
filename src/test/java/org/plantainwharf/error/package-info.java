/** Tests of the error table. */
@NullMarked
package org.plantainwharf.error;

import org.jspecify.annotations.NullMarked;
