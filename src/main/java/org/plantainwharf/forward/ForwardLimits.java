package org.plantainwharf.forward;

/**
 * What one daemon may spend on repeats. Immutable.
 *
 * @param retryShare repeats allowed as a part of the requests to a service
 * @param retryMinimum repeats in ten seconds that are allowed however few requests there are
 */
public record ForwardLimits(double retryShare, double retryMinimum) {}
