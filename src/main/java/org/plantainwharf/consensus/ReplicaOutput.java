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
 * What one step asks for. Writes are to be done in order. An installed snapshot replaces the state before the
 * committed entries are applied. Filled during one step, then only read; not thread-safe.
 */
public final class ReplicaOutput {
    private final List<Outgoing> messages = new ArrayList<>();
    private final List<StorageEffect> writes = new ArrayList<>();
    private final List<ReplicaEntry> committed = new ArrayList<>();
    private final List<String> counts = new ArrayList<>();
    private @Nullable ReplicaSnapshot installed;
    private @Nullable ProposalRefusal refusal;
    private long appendedIndex;

    /** A message and the host it goes to. Immutable. */
    public record Outgoing(HostId host, ReplicaMessage message) {}

    private ReplicaOutput() {}

    static ReplicaOutput create() {
        return new ReplicaOutput();
    }

    /** Returns the messages to send. */
    public List<Outgoing> messages() {
        return messages;
    }

    /** Returns the writes to do. */
    public List<StorageEffect> writes() {
        return writes;
    }

    /** Returns the entries to apply. */
    public List<ReplicaEntry> committed() {
        return committed;
    }

    /** Returns the names of counters to raise by one. */
    public List<String> counts() {
        return counts;
    }

    /** Returns the snapshot that replaces the state, if any. */
    public Optional<ReplicaSnapshot> installed() {
        return Optional.ofNullable(installed);
    }

    /** Returns why the proposal of this step was refused, if it was. */
    public Optional<ProposalRefusal> refusal() {
        return Optional.ofNullable(refusal);
    }

    /** Returns the index given to the proposal of this step, 0 for none. */
    public long appendedIndex() {
        return appendedIndex;
    }

    void send(HostId host, ReplicaMessage message) {
        messages.add(new Outgoing(host, message));
    }

    void write(StorageEffect effect) {
        writes.add(effect);
    }

    void commit(ReplicaEntry entry) {
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

    void appended(long index) {
        appendedIndex = index;
    }
}
