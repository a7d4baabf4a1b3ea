package org.plantainwharf.effect;

/** Answers to backend servers. Immutable. */
public sealed interface RegistryEffect extends Effect {
    /** Acknowledges a server's report, or refuses it if this daemon cannot ensure that the other daemons receive it. */
    record AnswerServer(long ticket, boolean acknowledged) implements RegistryEffect {}
}
