package org.plantainwharf.effect;

/** Actions on this process. Immutable. */
public sealed interface ProcessEffect extends Effect {
    /** Exits with status 0 after pending answers are flushed. */
    record ExitGracefully() implements ProcessEffect {}
}
