package org.plantainwharf.platform;

import org.plantainwharf.daemon.CloudApi;
import org.plantainwharf.effect.DutyEffect;

/** Cloud API of an installation that has none: duties are not executed. Stateless. */
final class NoOpCloudApi implements CloudApi {
    @Override
    public void execute(DutyEffect effect) {
        // The settings give no address of a cloud API.
    }

    @Override
    public void stop() {
        // No call is ever running.
    }
}
