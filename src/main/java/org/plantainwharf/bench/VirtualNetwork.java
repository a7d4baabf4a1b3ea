package org.plantainwharf.bench;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

import org.plantainwharf.identity.HostId;

/** Decides the fate of each message between virtual hosts. Not thread-safe. */
public final class VirtualNetwork {
    private final SplittableRandom random;
    private final Set<HostId> isolated = new HashSet<>();
    private final Set<Set<HostId>> cut = new HashSet<>();
    private double loss;
    private double duplication;
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
    public void setFaults(double lossProbability, double duplicationProbability) {
        loss = lossProbability;
        duplication = duplicationProbability;
    }

    /** Cuts a host off, in both directions. */
    public void isolate(HostId host) {
        isolated.add(host);
    }

    /** Cuts the link between two hosts, in both directions. */
    public void cut(HostId one, HostId other) {
        cut.add(Set.of(one, other));
    }

    /** Ends all partitions. */
    public void heal() {
        isolated.clear();
        cut.clear();
    }

    int copies(HostId from, HostId to) {
        if (!delivers(from, to) || random.nextDouble() < loss) {
            return 0;
        }
        return random.nextDouble() < duplication ? 2 : 1;
    }

    boolean delivers(HostId from, HostId to) {
        return !isolated.contains(from) && !isolated.contains(to) && !cut.contains(Set.of(from, to));
    }

    long delayNanos() {
        return random.nextLong(minimumDelayNanos, maximumDelayNanos);
    }
}
