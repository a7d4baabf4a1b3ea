package org.plantainwharf.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.message.ReplicaMessage;

/**
 * Result of one step. The caller executes the writes in order and installs the snapshot, if any, before it applies the
 * committed entries. Filled during one step and only read afterwards; not thread-safe.
 */
public final class ReplicaOutput {
    private final List<Outgoing> messages = new ArrayList<>();
    private final List<StorageEffect> writes = new ArrayList<>();
    private final List<ReplicaEntry> committed = new ArrayList<>();
    private final List<String> counts = new ArrayList<>();
    private @Nullable ReplicaSnapshot installed;
    private @Nullable ProposalRefusal refusal;
    private long appendedIndex;

    /** A message and its destination host. Immutable. */
    public record Outgoing(HostId host, ReplicaMessage message) {}

    private ReplicaOutput() {}

    static ReplicaOutput create() {
        return new ReplicaOutput();
    }

    /** Returns the messages, which may be sent before this step's writes are synced. */
    public List<Outgoing> messages() {
        return messages;
    }

    /** Returns the disk writes in the order in which they must be executed. */
    public List<StorageEffect> writes() {
        return writes;
    }

    /** Returns the committed entries to apply, in order of index. */
    public List<ReplicaEntry> committed() {
        return committed;
    }

    /** Returns the names of the metrics to increment by one; a name may occur more than once. */
    public List<String> counts() {
        return counts;
    }

    /** Returns the snapshot that replaces the state machine's state, if any. */
    public Optional<ReplicaSnapshot> installed() {
        return Optional.ofNullable(installed);
    }

    /** Returns the reason why this step's proposal was refused; empty if it was not. */
    public Optional<ProposalRefusal> refusal() {
        return Optional.ofNullable(refusal);
    }

    /** Returns the log index of this step's proposal, 0 if none was appended. */
    public long appendedIndex() {
        return appendedIndex;
    }

    void send(HostId host, ReplicaMessage message) {
        messages.add(new Outgoing(host, message));
    }

    void write(StorageEffect effect) {
        writes.add(effect);
    }

    void addCommitted(ReplicaEntry entry) {
        committed.add(entry);
    }

    void count(String metric) {
        counts.add(metric);
    }

    void install(ReplicaSnapshot snapshot) {
        installed = snapshot;
    }

    void refuse(ProposalRefusal reason) {
        refusal = reason;
        counts.add(reason.metricName());
    }

    void setAppendedIndex(long index) {
        appendedIndex = index;
    }
}
