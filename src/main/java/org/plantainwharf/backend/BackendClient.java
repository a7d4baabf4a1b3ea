package org.plantainwharf.backend;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.thread.Scheduler;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.settings.Settings;

/**
 * Sends calls and control requests to backend servers and posts their results as events.
 *
 * <p>Thread-safe. The {@code execute} methods return at once. Effects are started in the order of the calls, on a
 * thread of this client: posting an event can block, and the control thread must not wait for its own queue.
 */
public final class BackendClient implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    // Below the usual idle timeouts of servers, so that the client closes an idle connection first.
    private static final long IDLE_TIMEOUT_MILLIS = 4_000;
    private static final int MAXIMUM_THREADS = 24;
    private static final long SWEEP_INTERVAL_MILLIS = 1_000;
    // How long the received text of accepted work is retained after an attempt, for the next attempt to resume from.
    private static final long TEXT_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final AttemptContext context;
    private final ServerExchanges exchanges;
    private final ExecutorService effectExecutor =
            Executors.newSingleThreadExecutor(task -> new Thread(task, "backend-starter"));
    private final Map<AttemptId, RunningAttempt> running = new ConcurrentHashMap<>();
    private final Map<RequestId, CallProgress> progressByRequest = new ConcurrentHashMap<>();
    private volatile Scheduler.@Nullable Task sweep;
    private volatile boolean closed;

    private BackendClient(AttemptContext context) {
        this.context = context;
        this.exchanges = ServerExchanges.create(context);
    }

    /**
     * Creates and starts a client.
     *
     * @param sinks connections of the callers that wait for a streamed response
     * @throws IllegalStateException if the HTTP client cannot be started
     */
    public static BackendClient create(
            Settings settings, Clock clock, EventSink events, ResponseSinks sinks, MetricRegistry metrics) {
        BackendClient client = new BackendClient(new AttemptContext(
                HttpClients.start("backend", MAXIMUM_THREADS, IDLE_TIMEOUT_MILLIS),
                HttpClients.start("backend-direct", MAXIMUM_THREADS, IDLE_TIMEOUT_MILLIS),
                PoolGenerations.create(),
                clock,
                events,
                sinks,
                metrics,
                settings.bounds().maximumAnswerBytes()));
        client.scheduleSweep();
        return client;
    }

    /** Starts or cancels an attempt. Cancelling an attempt that is not running has no effect. */
    public void execute(AttemptEffect effect) {
        dispatch(() -> {
            switch (effect) {
                case AttemptEffect.StartAttempt start -> start(start);
                case AttemptEffect.CancelAttempt cancel ->
                    Optional.ofNullable(running.get(cancel.attempt())).ifPresent(RunningAttempt::cancel);
            }
        });
    }

    /**
     * Sends a probe, a request for cache events or an engine order. Responses to announcements are sent by the {@code
     * front} package; such an effect is only counted here.
     */
    public void execute(ServerEffect effect) {
        dispatch(() -> {
            switch (effect) {
                case ServerEffect.ProbeServer probe -> exchanges.probe(probe);
                case ServerEffect.FetchCacheEvents fetch -> exchanges.fetchCacheEvents(fetch);
                case ServerEffect.OrderModels order -> exchanges.order(order);
                case ServerEffect.AnswerAnnouncement answer -> context.incrementCounter("backend.misdirected_effects");
            }
        });
    }

    /** Returns the number of attempts that have started and not ended. */
    public int runningAttempts() {
        return running.size();
    }

    private void dispatch(Runnable task) {
        try {
            effectExecutor.execute(() -> {
                try {
                    task.run();
                } catch (RuntimeException e) {
                    context.incrementCounter("backend.internal_failures");
                    LOGGER.atSevere().withCause(e).log("event=backend_effect_failed");
                }
            });
        } catch (RejectedExecutionException e) {
            context.incrementCounter("backend.effects_after_close");
        }
    }

    private void start(AttemptEffect.StartAttempt start) {
        RequestId request = start.attempt().request();
        // Accepted work can be assigned to this host again as a new call with the same id, which starts without text.
        CallProgress progress = progressByRequest.compute(
                request,
                (key, present) -> present != null && present.call().equals(start.call())
                        ? present
                        : CallProgress.create(
                                start.call(),
                                context.maximumAnswerBytes(),
                                context.clock().nowNanos()));
        RunningAttempt attempt = RunningAttempt.create(context, start, progress, () -> running.remove(start.attempt()));
        if (running.putIfAbsent(start.attempt(), attempt) != null) {
            context.incrementCounter("backend.duplicate_starts");
            return;
        }
        try {
            attempt.send();
        } catch (RuntimeException e) {
            LOGGER.atSevere().withCause(e).log("event=attempt_not_sent request_id=%s", request);
            attempt.cancel();
        }
    }

    private void scheduleSweep() {
        if (!closed) {
            sweep = context.pooledClient()
                    .getScheduler()
                    .schedule(this::sweep, SWEEP_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Removes the received text of calls that no attempt will resume. */
    private void sweep() {
        long now = context.clock().nowNanos();
        progressByRequest.values().removeIf(progress -> {
            synchronized (progress) {
                // A connected caller may have received part of the text, so it is retained without a time limit.
                return progress.hasCaller()
                        ? progress.isIdleFor(now, 0)
                                && context.sinks().sink(progress.call().id()).isEmpty()
                        : progress.isIdleFor(now, TEXT_RETENTION_NANOS);
            }
        });
        scheduleSweep();
    }

    /** Cancels all attempts and stops the client. The ends of the attempts are still posted as events. */
    @Override
    public void close() {
        closed = true;
        Scheduler.@Nullable Task task = sweep;
        if (task != null) {
            task.cancel();
        }
        effectExecutor.shutdown();
        running.values().forEach(RunningAttempt::cancel);
        stop(context.pooledClient());
        stop(context.singleUseClient());
    }

    private static void stop(HttpClient client) {
        try {
            client.stop();
        } catch (Exception e) {
            LOGGER.atWarning().withCause(e).log("event=http_client_stop_failed");
        }
    }
}
