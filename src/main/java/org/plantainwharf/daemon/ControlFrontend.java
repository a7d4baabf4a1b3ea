package org.plantainwharf.daemon;

import org.plantainwharf.effect.DocumentEffect;
import org.plantainwharf.effect.RegistryEffect;
import org.plantainwharf.effect.RolloutEffect;

/** Serves the backend servers and operators that call a control daemon. Methods return at once and are thread-safe. */
public interface ControlFrontend {
    /**
     * Starts to listen.
     *
     * @throws IllegalStateException if the address cannot be bound
     */
    void start();

    /** Responds to a backend server. */
    void execute(RegistryEffect effect);

    /** Responds to an operator. */
    void execute(DocumentEffect effect);

    /** Responds to an operator. */
    void execute(RolloutEffect effect);

    /** Stops listening. */
    void stop();
}
