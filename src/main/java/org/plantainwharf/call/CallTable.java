package org.plantainwharf.call;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.RequestId;

/**
 * Live calls of this host by request id, with queues of the calls that wait for a record or for a backend server. Each
 * controller advances only calls in the stages that it handles. Owned by the control thread.
 */
public final class CallTable {
    private final Map<RequestId, CallEntry> calls = new LinkedHashMap<>();
    private final Deque<CallEntry> recording = new ArrayDeque<>();
    private final Deque<CallEntry> ready = new ArrayDeque<>();

    private CallTable() {}

    /** Returns an empty table. */
    public static CallTable create() {
        return new CallTable();
    }

    /** Adds a call that has just arrived, in the first stage. */
    public CallEntry add(Call call) {
        CallEntry entry = CallEntry.create(call);
        calls.put(call.id(), entry);
        return entry;
    }

    /** Returns a live call, or empty if no call with this id is live. */
    public Optional<CallEntry> call(RequestId request) {
        return Optional.ofNullable(calls.get(request));
    }

    /** Returns all live calls in order of arrival. */
    public Collection<CallEntry> calls() {
        return calls.values();
    }

    /** Returns the number of live calls. */
    public int size() {
        return calls.size();
    }

    /** Moves a call to another stage and queues it if that stage waits for a record or a server. */
    public void advance(CallEntry entry, CallState next) {
        entry.setState(next);
        if (next instanceof CallState.Ready) {
            ready.add(entry);
        } else if (next instanceof CallState.Recording) {
            recording.add(entry);
        }
    }

    /**
     * Removes and returns the next call that waits for a server, or null if there is none; skips calls that have ended.
     */
    public @Nullable CallEntry pollReady() {
        return pollLive(ready, CallState.Ready.class);
    }

    /**
     * Removes and returns the next call that waits for a record, or null if there is none; skips calls that have ended.
     */
    public @Nullable CallEntry pollRecording() {
        return pollLive(recording, CallState.Recording.class);
    }

    private @Nullable CallEntry pollLive(Deque<CallEntry> queue, Class<? extends CallState> stage) {
        @Nullable CallEntry entry = queue.poll();
        while (entry != null
                && !(stage.isInstance(entry.state())
                        && calls.containsKey(entry.call().id()))) {
            entry = queue.poll();
        }
        return entry;
    }

    /** Removes a call that has ended. */
    public void remove(CallEntry entry) {
        calls.remove(entry.call().id());
    }
}
