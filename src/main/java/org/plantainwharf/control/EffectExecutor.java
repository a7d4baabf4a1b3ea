package org.plantainwharf.control;

import org.plantainwharf.effect.Effect;

/** Carries out effects on other threads. Must not block, since it is called on the control thread. */
@FunctionalInterface
public interface EffectExecutor {
    /** Starts carrying out an effect. */
    void execute(Effect effect);
}
