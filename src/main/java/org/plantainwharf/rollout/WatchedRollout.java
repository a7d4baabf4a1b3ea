package org.plantainwharf.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * A rollout as a control daemon watches it: the evidence, and what it was some time ago. Times are measured on the host's
 * monotonic clock from when this process first saw the rollout. Owned by the control thread.
 */
final class WatchedRollout {
    /** Spans over which the versions are compared beside the whole rollout, so that one that turns bad late is seen. */
    private static final long[] SPANS_NANOS = {TimeUnit.MILLISECONDS.toNanos(1_500), TimeUnit.SECONDS.toNanos(4)};

    private static final long SAMPLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long RATE_SPAN_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final EvidenceCollection evidence = EvidenceCollection.create();
    private final long firstSeenNanos;
    private final long elapsedAtFirstMillis;
    private final EvidenceSlice matched = EvidenceSlice.create();
    private final Deque<Sample> samples = new ArrayDeque<>();
    private Rollout rollout;
    private long phaseSeenNanos;
    private @Nullable EvidenceSlice atPhase;
    private EvidenceSlice beforePhase = EvidenceSlice.create();
    private long sentAtPhase;
    private String heldReason = "";

    private record Sample(long nanos, long requests, EvidenceSlice slice) {}

    private WatchedRollout(Rollout rollout, long elapsedMillis, long nowNanos) {
        this.rollout = rollout;
        this.firstSeenNanos = nowNanos;
        this.elapsedAtFirstMillis = elapsedMillis;
        this.phaseSeenNanos = nowNanos;
    }

    /** Returns a rollout that was begun some time ago by the wall clock. */
    static WatchedRollout create(Rollout rollout, long wallClockMillis, long nowNanos) {
        long elapsed = Math.max(0, Math.min(rollout.durationMillis(), wallClockMillis - rollout.begunMillis()));
        return new WatchedRollout(rollout, elapsed, nowNanos);
    }

    Rollout rollout() {
        return rollout;
    }

    EvidenceCollection evidence() {
        return evidence;
    }

    /** Follows the log. */
    void update(Rollout newer, long nowNanos) {
        if (!newer.phase().equals(rollout.phase())) {
            rollout = newer;
            phaseSeenNanos = nowNanos;
            atPhase = null;
        }
    }

    long elapsedMillis(long nowNanos) {
        return elapsedAtFirstMillis + (nowNanos - firstSeenNanos) / 1_000_000;
    }

    /** Returns whether this is another reason to hold than the last one, compared without its figures. */
    boolean isNewReason(String reason) {
        String words = reason.replaceAll("[0-9]+", "#");
        boolean differs = !words.equals(heldReason);
        heldReason = words;
        return differs;
    }

    /** Takes a sample if one is due. The decision needs at least one. */
    private EvidenceSlice sample(long nowNanos) {
        EvidenceSlice slice = evidence.slice();
        if (samples.isEmpty() || nowNanos - samples.getLast().nanos() >= SAMPLE_NANOS) {
            matched.addMatched(
                    samples.isEmpty() ? slice : slice.minus(samples.getLast().slice()));
            samples.add(new Sample(nowNanos, evidence.requests(), slice));
        }
        while (samples.size() > 1
                && nowNanos - samples.getFirst().nanos() > SPANS_NANOS[SPANS_NANOS.length - 1] + SAMPLE_NANOS) {
            samples.removeFirst();
        }
        return slice;
    }

    /** Returns the newest sample that is at least as old as a span; the oldest one if there is none. */
    private Sample sampleBefore(long spanNanos, long nowNanos) {
        Sample found = samples.getFirst();
        for (Sample sample : samples) {
            if (nowNanos - sample.nanos() >= spanNanos) {
                found = sample;
            }
        }
        return found;
    }

    /** Returns the situation now. */
    RolloutVerdict.Situation situation(
            RolloutBounds bounds,
            int readyTargets,
            int readyOthers,
            boolean idleAtOthers,
            boolean complete,
            long nowNanos) {
        EvidenceSlice whole = sample(nowNanos);
        EvidenceSlice matchedNow = matched.copy();
        matchedNow.addMatched(whole.minus(samples.getLast().slice()));
        if (atPhase == null) {
            atPhase = matchedNow;
            sentAtPhase = evidence.sentToTarget();
            Sample before = sampleBefore(SPANS_NANOS[SPANS_NANOS.length - 1], nowNanos);
            beforePhase = samples.size() == 1 ? whole : whole.minus(before.slice());
        }
        List<EvidenceSlice> recent = new ArrayList<>();
        for (long span : SPANS_NANOS) {
            recent.add(whole.minus(sampleBefore(span, nowNanos).slice()));
        }
        Sample before = sampleBefore(RATE_SPAN_NANOS, nowNanos);
        double seconds = Math.max(SAMPLE_NANOS, nowNanos - before.nanos()) / 1e9;
        long requests = evidence.requests();
        return new RolloutVerdict.Situation(
                rollout,
                bounds,
                elapsedMillis(nowNanos),
                (nowNanos - phaseSeenNanos) / 1_000_000,
                whole,
                matchedNow,
                recent,
                matchedNow.minus(atPhase),
                beforePhase,
                new RolloutVerdict.Traffic(
                        requests,
                        (requests - before.requests()) / seconds,
                        evidence.sentToTarget(),
                        evidence.sentToTarget() - sentAtPhase,
                        readyTargets,
                        readyOthers,
                        idleAtOthers),
                complete);
    }
}
