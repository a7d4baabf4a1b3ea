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

/** One virtual host with a member of the group. Not thread-safe. */
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

    /** Returns the host. */
    public HostId host() {
        return host;
    }

    /** Returns the identity; without disk for a learner. */
    public VoterId identity() {
        return VoterId.of(host, learner ? 0 : disk.incarnation());
    }

    /** Returns whether it has no disk. */
    public boolean learner() {
        return learner;
    }

    /** Returns the running member, or nothing after a crash. */
    public Optional<GroupMember> member() {
        return Optional.ofNullable(member);
    }

    /** Returns the commands applied since the last snapshot replaced the state. */
    public List<Command> applied() {
        return applied;
    }

    /** Returns the last index applied. */
    public long appliedIndex() {
        return appliedIndex;
    }

    /** Returns the time on this host's clock. */
    public long localNanos(long realNanos) {
        return (long) (realNanos * clockRate);
    }

    /** Returns how fast this host's clock runs. */
    public double clockRate() {
        return clockRate;
    }

    /** Returns the status, if the member runs. */
    public Optional<GroupStatus> status(long realNanos) {
        return member().map(running -> running.status(localNanos(realNanos)));
    }

    /** Returns the bytes sent, by an estimate of 64 for each message and 256 for each entry. */
    public long sentBytes() {
        return sentBytes;
    }

    /** Makes the next write fail. */
    public void failNextWrite() {
        failNextWrite = true;
    }

    /** Loses the disk; it has another incarnation from the next start on. */
    public void loseDisk(long nextIncarnation) {
        disk.reset(nextIncarnation);
    }

    VirtualDisk disk() {
        return disk;
    }

    int epoch() {
        return epoch;
    }

    void setMember(@Nullable GroupMember next) {
        member = next;
        epoch++;
        failNextWrite = false;
        diskBusyUntilNanos = 0;
    }

    boolean consumeWriteFault() {
        boolean fault = failNextWrite;
        failNextWrite = false;
        return fault;
    }

    long scheduleWrite(long nowNanos, long syncNanos) {
        diskBusyUntilNanos = Math.max(nowNanos, diskBusyUntilNanos) + syncNanos;
        return diskBusyUntilNanos;
    }

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
