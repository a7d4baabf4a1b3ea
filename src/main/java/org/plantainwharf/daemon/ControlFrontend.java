package org.plantainwharf.daemon;

import org.plantainwharf.effect.DocumentEffect;
import org.plantainwharf.effect.RegistryEffect;

/** Where backend servers and operators reach a control daemon. Methods return at once and are thread-safe. */
public interface ControlFrontend {
    /**
     * Starts to listen.
     *
     * @throws IllegalStateException if the address cannot be bound
     */
    void start();

    /** Answers a backend server. */
    void execute(RegistryEffect effect);

    /** Answers an operator. */
    void execute(DocumentEffect effect);

    /** Stops listening. */
    void stop();
}
