/**
 * The HTTP servers for callers, forwarded requests, the readiness check, announcements of backend servers, operators
 * and metrics.
 */
@NullMarked
package org.plantainwharf.front;

import org.jspecify.annotations.NullMarked;
