/** Tests that run daemons and stand-ins for backend servers as separate processes on loopback addresses. */
@NullMarked
package org.plantainwharf.fleet;

import org.jspecify.annotations.NullMarked;
