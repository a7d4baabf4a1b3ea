package org.plantainwharf.daemon;

import org.plantainwharf.effect.DutyEffect;

/** The cloud API, as the holder of the duties calls it. Methods return at once and are thread-safe. */
public interface CloudApi {
    /** Makes a call; its answer is posted as an event. */
    void execute(DutyEffect effect);

    /** Ends calls that run. */
    void stop();
}
