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
 * A backend server: slots, a queue by priority, a prefix cache of bounded size, and speed that falls a little when the
 * slots fill. Not thread-safe.
 */
final class FakeServer {
    private static final int CACHED_BLOCKS = 400;
    private static final double FULL_SLOWDOWN = 0.3;

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
    private LoadReport snapshot = LoadReport.idle();
    private int running;
    private long order;
    private double busySeconds;
    private long recomputedTokens;
    private boolean leaving;
    private boolean gone;

    FakeServer(VirtualClock clock, ServerId id, AvailabilityZone zone, HostClass hostClass, int slots, double speed) {
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

    boolean gone() {
        return gone;
    }

    double busySeconds() {
        return busySeconds;
    }

    /** Returns the tokens that attempts after the first had to compute again. */
    long recomputedTokens() {
        return recomputedTokens;
    }

    /** Returns the load as it was at the last call of this method: reports lag by one period. */
    LoadReport laggedLoad(long ageMillis) {
        LoadReport old = snapshot;
        snapshot = new LoadReport(running, queue.size(), ageMillis);
        return old;
    }

    List<Long> cachedBlocks() {
        return new ArrayList<>(cache.keySet());
    }

    void leave() {
        leaving = true;
    }

    /** Ends the process: every connection is lost. */
    void die() {
        gone = true;
        for (Job job : List.copyOf(jobs.values())) {
            finish(job);
            job.listener().failed(new AttemptProblem.ConnectionLost(), tokens(job));
        }
        queue.clear();
    }

    void submit(AttemptEffect.StartAttempt start, int tokens, Listener listener) {
        if (gone) {
            listener.failed(new AttemptProblem.ConnectFailed(), 0);
        } else if (leaving) {
            listener.failed(new AttemptProblem.RefusedBeforeRunning(true), 0);
        } else {
            order++;
            Job job = new Job(start, Math.max(1, tokens - start.resumeFromTokens()), listener, order);
            jobs.put(start.attempt(), job);
            queue.add(job);
            startNext();
        }
    }

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
            double slowdown = (1 + FULL_SLOWDOWN * running / slots) / speed;
            double first = firstMillis(job) * slowdown;
            job.tokenMillis = Work.TOKEN_MILLIS * slowdown;
            job.firstNanos = clock.nowNanos() + (long) (first * 1e6);
            double rest = job.start.call().kind() instanceof CallKind.Model ? (job.tokens - 1) * job.tokenMillis : 0;
            clock.after(first, () -> {
                if (jobs.containsKey(job.start.attempt())) {
                    job.listener().first();
                }
            });
            clock.after(first + rest, () -> {
                if (jobs.containsKey(job.start.attempt())) {
                    finish(job);
                    job.listener().completed(job.tokens);
                    startNext();
                }
            });
        }
    }

    private double firstMillis(Job job) {
        return switch (job.start.call().kind()) {
            case CallKind.Model model -> prefillMillis(model, job);
            case CallKind.LongWork work -> prefillMillis(work.model(), job);
            case CallKind.Service service -> Work.SERVICE_MILLIS;
            case CallKind.Order order -> Work.SERVICE_MILLIS;
        };
    }

    private double prefillMillis(CallKind.Model model, Job job) {
        int held = 0;
        for (Long block : model.prefixBlocks()) {
            if (cache.get(block) == null) {
                break;
            }
            held++;
        }
        model.prefixBlocks().forEach(block -> cache.put(block, true));
        while (cache.size() > CACHED_BLOCKS) {
            cache.remove(cache.keySet().iterator().next());
        }
        int blocks = Math.max(1, model.prefixBlocks().size());
        int computed = model.promptTokens() - model.promptTokens() * held / blocks + job.start.resumeFromTokens();
        if (job.start.attempt().number() > 1) {
            recomputedTokens += computed;
        }
        return Math.max(1, computed) * Work.PREFILL_MILLIS;
    }

    private void finish(Job job) {
        jobs.remove(job.start.attempt());
        if (job.startedNanos > 0) {
            running--;
            busySeconds += (clock.nowNanos() - job.startedNanos) / 1e9;
        }
    }

    private int tokens(Job job) {
        boolean begun = job.startedNanos > 0 && clock.nowNanos() >= job.firstNanos;
        return begun
                ? (int) Math.min(job.tokens - 1, 1 + (clock.nowNanos() - job.firstNanos) / 1e6 / job.tokenMillis)
                : 0;
    }

    /** What becomes of an attempt. */
    interface Listener {
        void first();

        void completed(int tokens);

        void failed(AttemptProblem problem, int tokens);
    }

    private static final class Job {
        private final AttemptEffect.StartAttempt start;
        private final int tokens;
        private final Listener listener;
        private final long order;
        private long startedNanos;
        private long firstNanos;
        private double tokenMillis;

        private Job(AttemptEffect.StartAttempt start, int tokens, Listener listener, long order) {
            this.start = start;
            this.tokens = tokens;
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
