package org.plantainwharf.event;

import org.plantainwharf.duty.ProviderAnswer;
import org.plantainwharf.duty.ServerPool;

/** Responses of the cloud API to the daemon that holds the duties. Immutable. */
public sealed interface DutyEvent extends Event {
    /** A usage report was answered. */
    record UsageAnswered(long window, long fencingNumber, ProviderAnswer answer) implements DutyEvent {}

    /**
     * An order of capacity was answered.
     *
     * @param serverCount number of servers that the order asked for in total
     */
    record OrderAnswered(ServerPool pool, int serverCount, long fencingNumber, ProviderAnswer answer)
            implements DutyEvent {}
}
