package org.plantainwharf.effect;

/**
 * Increments a counter. Immutable.
 *
 * @param metric name of the counter, for example {@code retries.connect_failed}
 * @param amount value to add
 */
public record CountEffect(String metric, long amount) implements Effect {
    /** Returns an effect that increments a counter by 1. */
    public static CountEffect one(String metric) {
        return new CountEffect(metric, 1);
    }
}
