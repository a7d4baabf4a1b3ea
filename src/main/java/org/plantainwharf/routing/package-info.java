/** Choice of backend servers, with latency estimates, prefix cache hints and attempts in flight. */
@NullMarked
package org.plantainwharf.routing;

import org.jspecify.annotations.NullMarked;
