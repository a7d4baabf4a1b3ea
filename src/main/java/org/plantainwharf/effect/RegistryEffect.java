package org.plantainwharf.effect;

/** Answers to backend servers. Immutable. */
public sealed interface RegistryEffect extends Effect {
    /** Acknowledges a report, or refuses to where this daemon cannot make sure that the others learn of it. */
    record AnswerServer(long ticket, boolean acknowledged) implements RegistryEffect {}
}
