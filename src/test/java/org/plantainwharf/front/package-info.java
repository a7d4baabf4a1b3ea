/** Tests of the HTTP servers, through real HTTP connections. */
@NullMarked
package org.plantainwharf.front;

import org.jspecify.annotations.NullMarked;
