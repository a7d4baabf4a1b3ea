package org.plantainwharf.control;

import org.plantainwharf.effect.Effect;

/** Carries out effects on other threads. Must return at once: the control thread waits for it. */
@FunctionalInterface
public interface EffectExecutor {
    /** Starts carrying out an effect. */
    void execute(Effect effect);
}
