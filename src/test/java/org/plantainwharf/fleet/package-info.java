/** Tests that run daemons and stand-ins as separate processes on loopback. */
@NullMarked
package org.plantainwharf.fleet;

import org.jspecify.annotations.NullMarked;
