/** Membership: the daemons, their links and heartbeats. */
@NullMarked
package org.plantainwharf.membership;

import org.jspecify.annotations.NullMarked;
