/** Backend servers: announcements, leases, load and condition. */
@NullMarked
package org.plantainwharf.server;

import org.jspecify.annotations.NullMarked;
