package org.plantainwharf.event;

import java.util.OptionalLong;

import org.plantainwharf.identity.ServerId;
import org.plantainwharf.registry.ServerReport;

/** Registration of backend servers with this daemon. {@code ticket} identifies the exchange to answer. Immutable. */
public sealed interface RegistryEvent extends Event {
    /** Returns the id of the exchange to answer, unique within this daemon. */
    long ticket();

    /** A server reported its address and state, and waits for an acknowledgement. */
    record ServerReported(long ticket, ServerReport report) implements RegistryEvent {}

    /**
     * A server announced that it is shutting down.
     *
     * @param startedMillis start time of the server in milliseconds since the epoch; empty if the server did not state it
     */
    record ServerDeregistered(long ticket, ServerId server, OptionalLong startedMillis) implements RegistryEvent {}
}
