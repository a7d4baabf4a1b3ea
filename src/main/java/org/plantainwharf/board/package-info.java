/** The shared control state, owned by the control thread. */
@NullMarked
package org.plantainwharf.board;

import org.jspecify.annotations.NullMarked;
