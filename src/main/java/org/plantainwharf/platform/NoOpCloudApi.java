package org.plantainwharf.platform;

import org.plantainwharf.daemon.CloudApi;
import org.plantainwharf.effect.DutyEffect;

/** Stands in where an installation has no cloud API, so that duties are not carried out. Stateless. */
final class NoOpCloudApi implements CloudApi {
    @Override
    public void execute(DutyEffect effect) {
        // Nobody to call; the settings name no address.
    }

    @Override
    public void stop() {
        // Nothing runs.
    }
}
