package org.plantainwharf.effect;

/** Raises and clears alarms for the operators. Immutable. */
public sealed interface AlarmEffect extends Effect {
    /**
     * Raises the alarm for a service objective.
     *
     * @param objective identifies the service objective, for example {@code P1}
     * @param text what is at risk and what to do
     */
    record RaiseAlarm(String objective, String text) implements AlarmEffect {}

    /** Clears the alarm for a service objective. */
    record ClearAlarm(String objective) implements AlarmEffect {}
}
