package org.plantainwharf.bench;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

import org.plantainwharf.identity.HostId;

/** Simulates loss, duplication, delay and partitions of messages between hosts. Not thread-safe. */
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

    /** Creates a network without loss, duplication or partitions and with a fixed delay. */
    static VirtualNetwork create(SplittableRandom random, long delayNanos) {
        return new VirtualNetwork(random, delayNanos);
    }

    /** Sets the bounds of the random delay, the upper one exclusive; messages can be reordered unless the delay is fixed. */
    public void setDelay(long minimumNanos, long maximumNanos) {
        minimumDelayNanos = minimumNanos;
        maximumDelayNanos = maximumNanos;
    }

    /** Sets the probabilities that a message is lost and that it is delivered twice. */
    public void setFaults(double newLossProbability, double newDuplicationProbability) {
        lossProbability = newLossProbability;
        duplicationProbability = newDuplicationProbability;
    }

    /** Partitions a host from all others, in both directions. */
    public void isolate(HostId host) {
        isolatedHosts.add(host);
    }

    /** Interrupts the link between two hosts, in both directions. */
    public void cut(HostId first, HostId second) {
        cut.add(Set.of(first, second));
    }

    /** Ends all partitions, of hosts and of links. */
    public void heal() {
        isolatedHosts.clear();
        cut.clear();
    }

    /** Returns how many copies of a message are delivered: 0, 1 or 2. */
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
