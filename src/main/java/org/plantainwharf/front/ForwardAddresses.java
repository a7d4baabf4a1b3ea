package org.plantainwharf.front;

import org.plantainwharf.settings.Settings;

/**
 * Where an entry daemon listens. Immutable.
 *
 * @param callerAddress address for callers
 * @param readinessAddress address for the balancer's question whether this daemon is ready
 * @param readinessPath path of that question
 * @param bounds sizes that hold before a document sets others
 */
public record ForwardAddresses(
        String callerAddress, String readinessAddress, String readinessPath, Settings.Bounds bounds) {}
