/** Registry of backend servers: announcements, leases, load and probes. */
@NullMarked
package org.plantainwharf.server;

import org.jspecify.annotations.NullMarked;
