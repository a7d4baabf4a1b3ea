/** Tests of decisions on requests that are passed on. */
@NullMarked
package org.plantainwharf.forward;

import org.jspecify.annotations.NullMarked;
