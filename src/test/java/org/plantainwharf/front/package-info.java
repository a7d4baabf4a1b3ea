/** Tests of the HTTP servers. */
@NullMarked
package org.plantainwharf.front;

import org.jspecify.annotations.NullMarked;
