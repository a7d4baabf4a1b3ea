package org.plantainwharf.effect;

/** What to do with this process. Immutable. */
public sealed interface ProcessEffect extends Effect {
    /** Exits with status 0 after open answers are flushed. */
    record ExitGracefully() implements ProcessEffect {}
}
