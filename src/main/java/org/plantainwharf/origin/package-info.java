/** Which software version of which service began a stream, so that only servers of that version go on with it. */
@NullMarked
package org.plantainwharf.origin;

import org.jspecify.annotations.NullMarked;
