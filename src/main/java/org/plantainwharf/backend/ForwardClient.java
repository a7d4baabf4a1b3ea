package org.plantainwharf.backend;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.LongFunction;

import org.eclipse.jetty.client.HttpClient;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.http.ForwardDialect;

/**
 * Forwards callers' requests to backend servers. Thread-safe. {@link #start} and {@link #cancel} return at once and do
 * their work on the given executor, because posting an event can block until the control thread catches up.
 */
public final class ForwardClient {
    private final HttpClient client;
    private final ForwardDialect dialect;
    private final Clock clock;
    private final LongFunction<Optional<? extends ForwardExchange>> exchanges;
    private final EventSink events;
    private final Executor executor;
    private final Map<Long, CancellableAttempt> running = new ConcurrentHashMap<>();

    private ForwardClient(
            HttpClient client,
            ForwardDialect dialect,
            Clock clock,
            LongFunction<Optional<? extends ForwardExchange>> exchanges,
            EventSink events,
            Executor executor) {
        this.client = client;
        this.dialect = dialect;
        this.clock = clock;
        this.exchanges = exchanges;
        this.events = events;
        this.executor = executor;
    }

    /**
     * Returns a client.
     *
     * @param client HTTP client, already started
     * @param exchanges returns the caller's request for a ticket, or empty if the caller has disconnected
     * @param executor runs the tasks that send and cancel attempts
     */
    public static ForwardClient create(
            HttpClient client,
            ForwardDialect dialect,
            Clock clock,
            LongFunction<Optional<? extends ForwardExchange>> exchanges,
            EventSink events,
            Executor executor) {
        return new ForwardClient(client, dialect, clock, exchanges, events, executor);
    }

    /** Sends a request to a server. If its caller has disconnected, the attempt ends as withheld. */
    public void start(ForwardEffect.StartForward start) {
        begin(
                start.ticket(),
                start.attempt(),
                exchange -> ForwardAttempt.create(client, dialect, clock, start, exchange, events, this::remove));
    }

    /** Hands a request over to another entry daemon. If its caller has disconnected, the attempt ends as withheld. */
    public void handOver(ForwardEffect.HandOver order) {
        begin(
                order.ticket(),
                order.attempt(),
                exchange -> HandoverAttempt.create(client, dialect, clock, order, exchange, events, this::remove));
    }

    private void begin(long ticket, int number, Function<ForwardExchange, CancellableAttempt> factory) {
        executor.execute(() -> {
            Optional<? extends ForwardExchange> exchange = exchanges.apply(ticket);
            if (exchange.isEmpty()) {
                events.post(new ForwardEvent.ForwardEnded(
                        ticket,
                        number,
                        new ForwardOutcome.Withheld(ForwardOutcome.Withheld.Reason.CALLER_LEFT),
                        Optional.empty()));
                return;
            }
            CancellableAttempt attempt = factory.apply(exchange.get());
            running.put(ticket, attempt);
            attempt.send();
        });
    }

    private void remove(CancellableAttempt ended) {
        running.remove(ended.ticket(), ended);
    }

    /**
     * Opens a connection to a server and closes it, and reports {@code ServerUnreachable} if the connection is refused.
     * Any other result does not tell whether the server's process exists.
     */
    public void probe(ForwardEffect.ProbeServer probe) {
        executor.execute(() -> ServerProbe.send(client, probe.address(), refused -> {
            if (refused) {
                events.post(new ForwardEvent.ServerUnreachable(probe.ticket(), probe.server()));
            }
        }));
    }

    /** Opens a connection to a server, closes it, and reports {@code ConnectionChecked}. */
    public void check(ForwardEffect.CheckConnection check) {
        executor.execute(() -> ServerProbe.open(
                client,
                check.address(),
                opened -> events.post(ForwardEvent.ConnectionChecked.of(check.server(), opened))));
    }

    /** Cancels the running attempt of a request. Has no effect if none is running. */
    public void cancel(long ticket) {
        executor.execute(() -> {
            @Nullable CancellableAttempt attempt = running.get(ticket);
            if (attempt != null) {
                attempt.cancel();
            }
        });
    }
}
