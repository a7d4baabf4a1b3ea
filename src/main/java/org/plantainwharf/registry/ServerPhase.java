package org.plantainwharf.registry;

/** Where a backend server stands in its life. The order never goes back within one start of a server. */
public enum ServerPhase {
    /** Takes new work. */
    READY,
    /** Finishes its work and takes no more. */
    LEAVING,
    /** Has said that it ends. */
    GONE
}
