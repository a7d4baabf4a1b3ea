package org.plantainwharf.event;

import org.plantainwharf.duty.Pool;
import org.plantainwharf.duty.ProviderAnswer;

/** Responses of the cloud API to the daemon that holds the duties. Immutable. */
public sealed interface DutyEvent extends Event {
    /** A usage report was answered. */
    record UsageAnswered(long window, long fencingNumber, ProviderAnswer answer) implements DutyEvent {}

    /**
     * An order of capacity was answered.
     *
     * @param servers number of servers that the order asked for in total
     */
    record OrderAnswered(Pool pool, int servers, long fencingNumber, ProviderAnswer answer) implements DutyEvent {}
}
