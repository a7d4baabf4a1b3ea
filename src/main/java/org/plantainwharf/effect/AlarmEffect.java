package org.plantainwharf.effect;

/** What to tell the staff. Immutable. */
public sealed interface AlarmEffect extends Effect {
    /** Raises the alarm of a promise. */
    record RaiseAlarm(String promise, String text) implements AlarmEffect {}

    /** Clears it. */
    record ClearAlarm(String promise) implements AlarmEffect {}
}
