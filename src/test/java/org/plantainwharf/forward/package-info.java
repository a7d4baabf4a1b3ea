/** Tests of the control of forwarded requests. */
@NullMarked
package org.plantainwharf.forward;

import org.jspecify.annotations.NullMarked;
