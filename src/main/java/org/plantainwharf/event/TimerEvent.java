package org.plantainwharf.event;

/** Time passing. Immutable. */
public sealed interface TimerEvent extends Event {
    /** Posted by the control thread at a fixed period. */
    record Tick() implements TimerEvent {}
}
