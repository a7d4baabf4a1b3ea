package org.plantainwharf.event;

import java.util.OptionalLong;

import org.plantainwharf.identity.ServerId;
import org.plantainwharf.registry.ServerReport;

/** What backend servers say of themselves to this daemon. Immutable. */
public sealed interface RegistryEvent extends Event {
    /** A server reported itself; {@code ticket} identifies the answer that it waits for. */
    record ServerReported(long ticket, ServerReport report) implements RegistryEvent {}

    /**
     * A server said that it ends.
     *
     * @param born start of the server, where it says so
     */
    record ServerDeregistered(long ticket, ServerId server, OptionalLong born) implements RegistryEvent {}
}
