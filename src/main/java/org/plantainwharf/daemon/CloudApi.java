package org.plantainwharf.daemon;

import org.plantainwharf.effect.DutyEffect;

/** Client of the cloud API, for the daemon that holds the duties. Methods return at once and are thread-safe. */
public interface CloudApi {
    /** Starts a call; its answer is posted as an event. */
    void execute(DutyEffect effect);

    /** Aborts running calls. */
    void stop();
}
