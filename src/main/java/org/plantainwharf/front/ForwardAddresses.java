package org.plantainwharf.front;

import org.plantainwharf.settings.Settings;

/**
 * Where an entry daemon listens. Immutable.
 *
 * @param callers address for callers
 * @param ready address for the balancer's question whether this daemon is ready
 * @param readyPath path of that question
 * @param bounds sizes that hold before a document sets others
 */
public record ForwardAddresses(String callers, String ready, String readyPath, Settings.Bounds bounds) {}
