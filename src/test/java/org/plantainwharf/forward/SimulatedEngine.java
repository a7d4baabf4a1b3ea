package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Model engine that processes requests in batches: each step makes one token for every running request and processes one
 * chunk of the first waiting prompt, so prompts delay the tokens of concurrent requests. Prompt parts stay cached, least
 * recently used first out. Used by one thread on a virtual clock.
 */
final class SimulatedEngine {
    private static final double STEP_MILLIS = 5.47;
    private static final double STEP_MILLIS_PER_REQUEST = 0.0121;
    private static final double MILLIS_PER_MILLION_TOKEN_PAIRS = 0.737;
    private static final long CHUNK_TOKENS = 2_048;

    private final Traits traits;
    private final PartUses uses;
    private final List<Job> waiting = new ArrayList<>();
    private final List<Job> running = new ArrayList<>();
    private final Map<String, Long> cachedParts = new LinkedHashMap<>(64, 0.75f, true);
    private long cachedTokens;
    private double workTimeFactor = 1;
    private boolean stepping;
    private boolean stopped;

    /**
     * Capacity of an engine. Immutable.
     *
     * @param speed relative to the usual engine
     * @param promptTokensPerMilli prompt tokens that the usual engine processes in a millisecond
     * @param preempting whether a request takes the slot of a less urgent one that runs
     */
    record Traits(
            double speed, double promptTokensPerMilli, int slots, int queue, long memoryTokens, boolean preempting) {}

    /** Hears of the progress of a request. */
    interface Listener {
        void onFirstToken();

        /** Called once, also at the deadline; {@code complete} is whether all tokens were made. */
        void onEnd(boolean complete);
    }

    /** A request at the engine. */
    static final class Job {
        private final long ticket;
        private final int owner;
        private final int priority;
        private final PromptShape prompt;
        private final long deadlineMicros;
        private final Listener listener;
        private long promptTokensLeft = -1;
        private long outputTokensLeft;
        private boolean answering;

        Job(long ticket, int owner, int priority, PromptShape prompt, long deadlineMicros, Listener listener) {
            this.ticket = ticket;
            this.owner = owner;
            this.priority = priority;
            this.prompt = prompt;
            this.deadlineMicros = deadlineMicros;
            this.listener = listener;
            this.outputTokensLeft = Math.max(1, prompt.outputTokens());
        }

        long ticket() {
            return ticket;
        }

        int owner() {
            return owner;
        }
    }

    SimulatedEngine(Traits traits, PartUses uses) {
        this.traits = traits;
        this.uses = uses;
    }

    /** Adds a request; returns false if the queue is full. The caller must then call {@link #startStep}. */
    boolean add(Job job) {
        if (stopped || waiting.size() >= traits.queue()) {
            return false;
        }
        waiting.add(job);
        waiting.sort(Comparator.comparingInt((Job other) -> other.priority));
        return true;
    }

    /** Removes a request that its daemon cancelled. */
    void cancel(long ticket, int owner) {
        waiting.removeIf(job -> job.ticket == ticket && job.owner == owner);
        running.removeIf(job -> job.ticket == ticket && job.owner == owner);
    }

    /** Stops the engine; returns the requests that it loses. */
    List<Job> stop() {
        stopped = true;
        List<Job> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        return lost;
    }

    void setWorkTimeFactor(double factor) {
        workTimeFactor = factor;
    }

    ServerLoad load() {
        return new ServerLoad(running.size(), waiting.size(), traits.slots(), (int) Math.round(100 * workTimeFactor));
    }

    /** Begins a step unless one is in progress or there is no work; returns its duration in microseconds, or 0. */
    long startStep(long nowMicros) {
        if (stepping || running.isEmpty() && waiting.isEmpty()) {
            return 0;
        }
        expire(waiting, nowMicros);
        expire(running, nowMicros);
        preempt();
        double millis = running.isEmpty() ? 0 : STEP_MILLIS + STEP_MILLIS_PER_REQUEST * running.size();
        if (!waiting.isEmpty() && running.size() < traits.slots()) {
            Job first = waiting.getFirst();
            if (first.promptTokensLeft < 0) {
                first.promptTokensLeft = uncachedTokens(first.prompt, nowMicros);
            }
            long chunk = Math.min(CHUNK_TOKENS, first.promptTokensLeft);
            double pairs = (double) chunk * first.prompt.inputTokens() / 1e6;
            millis += chunk / traits.promptTokensPerMilli() + MILLIS_PER_MILLION_TOKEN_PAIRS * pairs;
            first.promptTokensLeft -= chunk;
        }
        stepping = true;
        return Math.max(100, (long) (1_000 * millis * workTimeFactor / traits.speed()));
    }

    /** Ends the step that {@link #startStep} began. */
    void endStep() {
        stepping = false;
        for (Iterator<Job> jobs = running.iterator(); jobs.hasNext(); ) {
            Job job = jobs.next();
            job.outputTokensLeft--;
            if (job.outputTokensLeft <= 0) {
                jobs.remove();
                job.listener.onEnd(true);
            }
        }
        if (!waiting.isEmpty() && waiting.getFirst().promptTokensLeft == 0) {
            Job started = waiting.removeFirst();
            remember(started.prompt);
            running.add(started);
            if (!started.answering) {
                started.answering = true;
                started.listener.onFirstToken();
            }
        }
    }

    /** Returns the least urgent running request to the queue if a more urgent one finds no slot. */
    private void preempt() {
        if (!traits.preempting() || waiting.isEmpty() || running.size() < traits.slots()) {
            return;
        }
        Job least = running.stream()
                .max(Comparator.comparingInt((Job job) -> job.priority))
                .orElseThrow();
        if (waiting.getFirst().priority < least.priority) {
            running.remove(least);
            least.promptTokensLeft = -1;
            waiting.add(least);
            waiting.sort(Comparator.comparingInt((Job other) -> other.priority));
        }
    }

    private static void expire(List<Job> jobs, long nowMicros) {
        for (Job job : List.copyOf(jobs)) {
            if (job.deadlineMicros <= nowMicros) {
                jobs.remove(job);
                job.listener.onEnd(false);
            }
        }
    }

    private long uncachedTokens(PromptShape prompt, long nowMicros) {
        long cached = 0;
        int keptParts = 0;
        for (PromptShape.Part part : prompt.parts()) {
            if (!cachedParts.containsKey(part.id())) {
                break;
            }
            cached += part.tokens();
            keptParts++;
        }
        uses.record(prompt, keptParts, nowMicros);
        return Math.max(1, prompt.inputTokens() - cached);
    }

    private void remember(PromptShape prompt) {
        for (PromptShape.Part part : prompt.parts()) {
            if (cachedParts.put(part.id(), part.tokens()) == null) {
                cachedTokens += part.tokens();
            }
        }
        Iterator<Long> eldest = cachedParts.values().iterator();
        while (cachedTokens > traits.memoryTokens() && eldest.hasNext()) {
            cachedTokens -= eldest.next();
            eldest.remove();
        }
    }
}
