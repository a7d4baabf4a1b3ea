package org.plantainwharf.event;

/** Timer events. Immutable. */
public sealed interface TimerEvent extends Event {
    /** Posted by the control thread at a fixed interval. */
    record Tick() implements TimerEvent {}
}
