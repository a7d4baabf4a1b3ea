package org.plantainwharf.registry;

/** Lifecycle phase of a backend server. Within one start of a server the phase only advances. */
public enum ServerPhase {
    /** Accepts new work. */
    READY,
    /** Finishes its work and accepts no new work. */
    LEAVING,
    /** Has deregistered, or another server has taken over its address. */
    GONE
}
