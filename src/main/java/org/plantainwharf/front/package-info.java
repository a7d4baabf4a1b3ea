/** The HTTP servers for callers, announcements of backend servers, operators and metrics. */
@NullMarked
package org.plantainwharf.front;

import org.jspecify.annotations.NullMarked;
