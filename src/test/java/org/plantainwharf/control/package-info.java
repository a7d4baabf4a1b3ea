/** Tests of the control cycle and its thread. */
@NullMarked
package org.plantainwharf.control;

import org.jspecify.annotations.NullMarked;
