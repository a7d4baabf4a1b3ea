package org.plantainwharf.bench;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

import org.plantainwharf.identity.HostId;

/** Decides the fate of each message between virtual hosts. Not thread-safe. */
public final class VirtualNetwork {
    private final SplittableRandom random;
    private final Set<HostId> isolatedHosts = new HashSet<>();
    private final Set<Set<HostId>> cut = new HashSet<>();
    private double lossProbability;
    private double duplicationProbability;
    private long minimumDelayNanos;
    private long maximumDelayNanos;

    private VirtualNetwork(SplittableRandom random, long delayNanos) {
        this.random = random;
        setDelay(delayNanos, delayNanos + 1);
    }

    /** Returns a network that loses nothing. */
    static VirtualNetwork create(SplittableRandom random, long delayNanos) {
        return new VirtualNetwork(random, delayNanos);
    }

    /** Sets the delay; messages overtake each other when the bounds differ. */
    public void setDelay(long minimumNanos, long maximumNanos) {
        minimumDelayNanos = minimumNanos;
        maximumDelayNanos = maximumNanos;
    }

    /** Sets the probabilities that a message is lost or arrives twice. */
    public void setFaults(double newLossProbability, double newDuplicationProbability) {
        lossProbability = newLossProbability;
        duplicationProbability = newDuplicationProbability;
    }

    /** Cuts a host off, in both directions. */
    public void isolate(HostId host) {
        isolatedHosts.add(host);
    }

    /** Cuts the link between two hosts, in both directions. */
    public void cut(HostId first, HostId second) {
        cut.add(Set.of(first, second));
    }

    /** Ends all partitions. */
    public void heal() {
        isolatedHosts.clear();
        cut.clear();
    }

    int copyCount(HostId from, HostId to) {
        if (!isConnected(from, to) || random.nextDouble() < lossProbability) {
            return 0;
        }
        return random.nextDouble() < duplicationProbability ? 2 : 1;
    }

    boolean isConnected(HostId from, HostId to) {
        return !isolatedHosts.contains(from) && !isolatedHosts.contains(to) && !cut.contains(Set.of(from, to));
    }

    long delayNanos() {
        return random.nextLong(minimumDelayNanos, maximumDelayNanos);
    }
}
