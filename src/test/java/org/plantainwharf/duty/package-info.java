/** Tests of duties. */
@NullMarked
package org.plantainwharf.duty;

import org.jspecify.annotations.NullMarked;
