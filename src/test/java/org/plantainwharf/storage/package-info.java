/** Tests of log and snapshot files. */
@NullMarked
package org.plantainwharf.storage;

import org.jspecify.annotations.NullMarked;
