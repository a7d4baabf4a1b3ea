/** Tests of routing. */
@NullMarked
package org.plantainwharf.routing;

import org.jspecify.annotations.NullMarked;
