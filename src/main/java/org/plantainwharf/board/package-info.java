/** The blackboard: the shared control state of a daemon, owned by the control thread. */
@NullMarked
package org.plantainwharf.board;

import org.jspecify.annotations.NullMarked;
