/** The room that services have, shared among callers over all daemons. */
@NullMarked
package org.plantainwharf.room;

import org.jspecify.annotations.NullMarked;
