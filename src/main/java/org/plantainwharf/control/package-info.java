/** The control thread with its event queue, and the interface of controllers. */
@NullMarked
package org.plantainwharf.control;

import org.jspecify.annotations.NullMarked;
