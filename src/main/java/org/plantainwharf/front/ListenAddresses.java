package org.plantainwharf.front;

import org.plantainwharf.settings.Settings;

/**
 * Addresses that an entry daemon listens on. Immutable.
 *
 * @param callerAddress IP address and port for callers
 * @param readinessAddress IP address and port for the readiness check of a load balancer
 * @param readinessPath path of the readiness check
 * @param bounds limits on requests, of which the listeners apply the one on headers
 */
public record ListenAddresses(
        String callerAddress, String readinessAddress, String readinessPath, Settings.Bounds bounds) {}
