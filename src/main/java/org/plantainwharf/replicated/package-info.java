/** Commands, queries and results of the replicated state machines. */
@NullMarked
package org.plantainwharf.replicated;

import org.jspecify.annotations.NullMarked;
