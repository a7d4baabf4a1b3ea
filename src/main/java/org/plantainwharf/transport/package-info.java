/** Links between daemons. */
@NullMarked
package org.plantainwharf.transport;

import org.jspecify.annotations.NullMarked;
