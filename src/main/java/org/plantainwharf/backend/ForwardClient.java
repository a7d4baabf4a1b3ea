package org.plantainwharf.backend;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.LongFunction;

import org.eclipse.jetty.client.HttpClient;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.http.ForwardDialect;

/**
 * Passes requests on to backend servers. Thread-safe; {@link #start} and {@link #cancel} return at once and run on the
 * executor given, since posting an event may wait for the control thread.
 */
public final class ForwardClient {
    private final HttpClient client;
    private final ForwardDialect dialect;
    private final LongFunction<Optional<? extends ForwardExchange>> exchanges;
    private final EventSink events;
    private final Executor executor;
    private final Map<Long, ForwardAttempt> running = new ConcurrentHashMap<>();

    private ForwardClient(
            HttpClient client,
            ForwardDialect dialect,
            LongFunction<Optional<? extends ForwardExchange>> exchanges,
            EventSink events,
            Executor executor) {
        this.client = client;
        this.dialect = dialect;
        this.exchanges = exchanges;
        this.events = events;
        this.executor = executor;
    }

    /**
     * Returns a client.
     *
     * @param client started HTTP client
     * @param exchanges finds the caller's request by its ticket
     */
    public static ForwardClient create(
            HttpClient client,
            ForwardDialect dialect,
            LongFunction<Optional<? extends ForwardExchange>> exchanges,
            EventSink events,
            Executor executor) {
        return new ForwardClient(client, dialect, exchanges, events, executor);
    }

    /** Sends a request to a server. */
    public void start(ForwardEffect.StartForward start) {
        executor.execute(() -> {
            Optional<? extends ForwardExchange> exchange = exchanges.apply(start.ticket());
            if (exchange.isEmpty()) {
                events.post(new ForwardEvent.ForwardEnded(
                        start.ticket(), start.attempt(), new ForwardOutcome.NotSent("caller left"), Optional.empty()));
                return;
            }
            ForwardAttempt attempt = ForwardAttempt.create(
                    client, dialect, start, exchange.get(), events, ended -> running.remove(ended.ticket(), ended));
            running.put(start.ticket(), attempt);
            attempt.send();
        });
    }

    /** Cancels the attempt that runs for a request. */
    public void cancel(long ticket) {
        executor.execute(() -> {
            @Nullable ForwardAttempt attempt = running.get(ticket);
            if (attempt != null) {
                attempt.cancel();
            }
        });
    }
}
