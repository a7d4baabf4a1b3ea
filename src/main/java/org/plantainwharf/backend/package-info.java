/** HTTP clients that send calls, forwarded requests and control requests to backend servers. */
@NullMarked
package org.plantainwharf.backend;

import org.jspecify.annotations.NullMarked;
