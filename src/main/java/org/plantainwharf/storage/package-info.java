/** Log and snapshot files of the replicated logs. */
@NullMarked
package org.plantainwharf.storage;

import org.jspecify.annotations.NullMarked;
