package org.plantainwharf.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.plantainwharf.call.CallKind;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.event.AttemptProblem;
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.server.LoadReport;

/**
 * Simulates a backend server on a virtual clock: slots, a priority queue, a bounded prefix cache with least recently
 * used eviction, and processing that slows down as the slots fill. Not thread-safe.
 */
final class SimulatedServer {
    private static final int CACHE_CAPACITY_BLOCKS = 400;
    private static final double SLOWDOWN_AT_FULL_LOAD = 0.3;

    private final VirtualClock clock;
    private final ServerId id;
    private final AvailabilityZone zone;
    private final HostClass hostClass;
    private final int slots;
    private final double speed;
    private final Map<AttemptId, Job> jobs = new HashMap<>();
    private final PriorityQueue<Job> queue =
            new PriorityQueue<>(Comparator.comparingInt(Job::negativePriority).thenComparingLong(Job::order));
    private final LinkedHashMap<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private LoadReport lastLoad = LoadReport.idle();
    private int running;
    private long lastOrder;
    private double busySeconds;
    private long recomputedTokens;
    private boolean leaving;
    private boolean terminated;

    SimulatedServer(
            VirtualClock clock, ServerId id, AvailabilityZone zone, HostClass hostClass, int slots, double speed) {
        this.clock = clock;
        this.id = id;
        this.zone = zone;
        this.hostClass = hostClass;
        this.slots = slots;
        this.speed = speed;
    }

    ServerId id() {
        return id;
    }

    AvailabilityZone zone() {
        return zone;
    }

    HostClass hostClass() {
        return hostClass;
    }

    int slots() {
        return slots;
    }

    boolean leaving() {
        return leaving;
    }

    boolean terminated() {
        return terminated;
    }

    double busySeconds() {
        return busySeconds;
    }

    /** Returns the tokens that were computed by attempts after the first. */
    long recomputedTokens() {
        return recomputedTokens;
    }

    /** Returns the load at the previous call of this method, so that reports lag by one announcement period. */
    LoadReport previousLoad(long ageMillis) {
        LoadReport previous = lastLoad;
        lastLoad = new LoadReport(running, queue.size(), ageMillis);
        return previous;
    }

    List<Long> cachedBlocks() {
        return new ArrayList<>(cache.keySet());
    }

    /** Announces the departure; new attempts are refused. */
    void startLeaving() {
        leaving = true;
    }

    /** Ends the server at once; all its attempts fail with a lost connection. */
    void terminate() {
        terminated = true;
        for (Job job : List.copyOf(jobs.values())) {
            finish(job);
            job.listener().onFailed(new AttemptProblem.ConnectionLost(), generatedTokens(job));
        }
        queue.clear();
    }

    /**
     * Queues an attempt, or fails it at once if the server is leaving or has ended.
     *
     * @param outputTokens length of the whole answer, including tokens received before a resumption
     */
    void submit(AttemptEffect.StartAttempt start, int outputTokens, Listener listener) {
        if (terminated) {
            listener.onFailed(new AttemptProblem.ConnectFailed(), 0);
        } else if (leaving) {
            listener.onFailed(new AttemptProblem.RefusedBeforeRunning(true), 0);
        } else {
            lastOrder++;
            Job job = new Job(start, Math.max(1, outputTokens - start.resumeTokenCount()), listener, lastOrder);
            jobs.put(start.attempt(), job);
            queue.add(job);
            startNext();
        }
    }

    /** Cancels an attempt without notifying its listener; an unknown attempt is ignored. */
    void cancel(AttemptId attempt) {
        Job job = jobs.get(attempt);
        if (job != null) {
            queue.remove(job);
            finish(job);
            startNext();
        }
    }

    private void startNext() {
        while (running < slots && !queue.isEmpty()) {
            Job job = queue.remove();
            running++;
            job.startedNanos = clock.nowNanos();
            double slowdown = (1 + SLOWDOWN_AT_FULL_LOAD * running / slots) / speed;
            double firstTokenDelayMillis = millisToFirstToken(job) * slowdown;
            job.tokenMillis = Workload.MILLIS_PER_OUTPUT_TOKEN * slowdown;
            job.firstNanos = clock.nowNanos() + (long) (firstTokenDelayMillis * 1e6);
            double remainingDelayMillis =
                    job.start.call().kind() instanceof CallKind.Model ? (job.outputTokens - 1) * job.tokenMillis : 0;
            clock.schedule(firstTokenDelayMillis, () -> {
                if (jobs.containsKey(job.start.attempt())) {
                    job.listener().onFirstToken();
                }
            });
            clock.schedule(firstTokenDelayMillis + remainingDelayMillis, () -> {
                if (jobs.containsKey(job.start.attempt())) {
                    finish(job);
                    job.listener().onCompleted(job.outputTokens);
                    startNext();
                }
            });
        }
    }

    private double millisToFirstToken(Job job) {
        return switch (job.start.call().kind()) {
            case CallKind.Model model -> prefillMillis(model, job);
            case CallKind.LongWork work -> prefillMillis(work.model(), job);
            case CallKind.Service service -> Workload.SERVICE_MILLIS;
            case CallKind.Order order -> Workload.SERVICE_MILLIS;
        };
    }

    /** Returns the duration of the prefill, which skips the cached prefix, and caches the blocks of the prompt. */
    private double prefillMillis(CallKind.Model model, Job job) {
        int cachedBlocks = 0;
        for (Long block : model.prefixBlocks()) {
            if (cache.get(block) == null) {
                break;
            }
            cachedBlocks++;
        }
        model.prefixBlocks().forEach(block -> cache.put(block, true));
        while (cache.size() > CACHE_CAPACITY_BLOCKS) {
            cache.remove(cache.keySet().iterator().next());
        }
        int blocks = Math.max(1, model.prefixBlocks().size());
        int computed =
                model.promptTokens() - model.promptTokens() * cachedBlocks / blocks + job.start.resumeTokenCount();
        if (job.start.attempt().number() > 1) {
            recomputedTokens += computed;
        }
        return Math.max(1, computed) * Workload.PREFILL_MILLIS_PER_TOKEN;
    }

    private void finish(Job job) {
        jobs.remove(job.start.attempt());
        if (job.startedNanos > 0) {
            running--;
            busySeconds += (clock.nowNanos() - job.startedNanos) / 1e9;
        }
    }

    /** Returns how many tokens a job has generated; never all of them, as the job has not completed. */
    private int generatedTokens(Job job) {
        boolean producingTokens = job.startedNanos > 0 && clock.nowNanos() >= job.firstNanos;
        return producingTokens
                ? (int) Math.min(job.outputTokens - 1, 1 + (clock.nowNanos() - job.firstNanos) / 1e6 / job.tokenMillis)
                : 0;
    }

    /** Receives the progress of an attempt: at most one first token, then one completion or failure. */
    interface Listener {
        void onFirstToken();

        void onCompleted(int tokens);

        void onFailed(AttemptProblem problem, int tokens);
    }

    private static final class Job {
        private final AttemptEffect.StartAttempt start;
        private final int outputTokens;
        private final Listener listener;
        private final long order;
        private long startedNanos;
        private long firstNanos;
        private double tokenMillis;

        private Job(AttemptEffect.StartAttempt start, int outputTokens, Listener listener, long order) {
            this.start = start;
            this.outputTokens = outputTokens;
            this.listener = listener;
            this.order = order;
        }

        private int negativePriority() {
            return -start.priority();
        }

        private long order() {
            return order;
        }

        private Listener listener() {
            return listener;
        }
    }
}
