package org.plantainwharf.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.consensus.GroupMember;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.VoterId;

/** A simulated host with its disk, its clock and its member of the replication group. Not thread-safe. */
public final class VirtualNode {
    private final HostId host;
    private final VirtualDisk disk;
    private final boolean learner;
    private final double clockRate;
    private final List<Command> applied = new ArrayList<>();
    private @Nullable GroupMember member;
    private int epoch;
    private long diskBusyUntilNanos;
    private boolean failNextWrite;
    private long appliedIndex;
    private long sentBytes;

    private VirtualNode(HostId host, long incarnation, boolean learner, double clockRate) {
        this.host = host;
        this.disk = VirtualDisk.empty(incarnation);
        this.learner = learner;
        this.clockRate = clockRate;
    }

    static VirtualNode create(HostId host, long incarnation, boolean learner, double clockRate) {
        return new VirtualNode(host, incarnation, learner, clockRate);
    }

    public HostId host() {
        return host;
    }

    /** Returns the identity of the member; a learner has incarnation 0, as it has no disk. */
    public VoterId identity() {
        return VoterId.of(host, learner ? 0 : disk.incarnation());
    }

    /** Returns whether the host is a learner, which has no disk and does not vote. */
    public boolean learner() {
        return learner;
    }

    /** Returns the running member, empty after a crash. */
    public Optional<GroupMember> member() {
        return Optional.ofNullable(member);
    }

    /** Returns the commands applied since the last snapshot replaced the state. */
    public List<Command> applied() {
        return applied;
    }

    /** Returns the index of the last applied entry or installed snapshot, 0 for none. */
    public long appliedIndex() {
        return appliedIndex;
    }

    /** Converts simulation time to the time on this host's clock. */
    public long localNanos(long realNanos) {
        return (long) (realNanos * clockRate);
    }

    /** Returns the rate of this host's clock relative to simulation time; 1 is exact. */
    public double clockRate() {
        return clockRate;
    }

    /** Returns the status of the member, empty if it does not run. */
    public Optional<GroupStatus> status(long realNanos) {
        return member().map(running -> running.status(localNanos(realNanos)));
    }

    /** Returns the estimated bytes sent: 64 for each message and 256 for each entry. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Makes the next disk write fail. The fault is cleared when the host restarts or crashes. */
    public void failNextWrite() {
        failNextWrite = true;
    }

    /** Erases the disk. A member takes the new incarnation from the next start on. */
    public void loseDisk(long nextIncarnation) {
        disk.reset(nextIncarnation);
    }

    VirtualDisk disk() {
        return disk;
    }

    /** Returns the number of starts and crashes; ticks and writes of an earlier epoch are discarded. */
    int epoch() {
        return epoch;
    }

    /** Replaces the member after a start, or removes it after a crash, and clears pending faults and writes. */
    void setMember(@Nullable GroupMember next) {
        member = next;
        epoch++;
        failNextWrite = false;
        diskBusyUntilNanos = 0;
    }

    /** Returns whether the next write is to fail, and clears the fault. */
    boolean consumeWriteFault() {
        boolean fault = failNextWrite;
        failNextWrite = false;
        return fault;
    }

    /** Queues a write after those in progress and returns the time at which it ends. */
    long scheduleWrite(long nowNanos, long syncNanos) {
        diskBusyUntilNanos = Math.max(nowNanos, diskBusyUntilNanos) + syncNanos;
        return diskBusyUntilNanos;
    }

    /** Discards the applied commands when the host starts or a snapshot up to an index replaces the state. */
    void resetApplied(long index) {
        applied.clear();
        appliedIndex = index;
    }

    void apply(long index, Command command) {
        applied.add(command);
        appliedIndex = index;
    }

    void addSentBytes(long bytes) {
        sentBytes += bytes;
    }
}
