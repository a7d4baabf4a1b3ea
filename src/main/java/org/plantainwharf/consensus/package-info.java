/** Consensus protocol of the replicated logs: elections, replication, leases, snapshots and voter changes. */
@NullMarked
package org.plantainwharf.consensus;

import org.jspecify.annotations.NullMarked;
