package org.plantainwharf.front;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.eclipse.jetty.client.HttpClient;
import org.plantainwharf.backend.ForwardClient;
import org.plantainwharf.backend.ForwardTestDialect;
import org.plantainwharf.backend.HttpClients;
import org.plantainwharf.control.Clock;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.document.CallerBounds;
import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.forward.ForwardOutcome;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.metric.Telemetry;

/**
 * The traffic side of an entry daemon in front of one server. Each request is tried once; an answer that cannot be
 * completed is broken off, as the forward controller decides. Thread-safe.
 */
final class ForwardingRelay implements EventSink, AutoCloseable {
    private static final long DEADLINE_NANOS = 10_000_000_000L;

    private final String serverAddress;
    private final HttpClient httpClient = HttpClients.start("relay", 4, 4_000);
    private final ExecutorService executor = Executors.newSingleThreadExecutor();
    private final MetricRegistry metrics = new MetricRegistry();
    private final Set<Long> begun = ConcurrentHashMap.newKeySet();
    private final CountDownLatch answerBegun = new CountDownLatch(1);
    private final Queue<String> lines = new ConcurrentLinkedQueue<>();
    private final ForwardingFrontend frontend;
    private final ForwardClient client;

    private ForwardingRelay(String serverAddress, boolean draining) {
        this.serverAddress = serverAddress;
        DrainPhase phase = draining ? new DrainPhase.Announcing(0) : new DrainPhase.Serving();
        this.frontend = ForwardingFrontend.create(
                ForwardTestDialect.DIALECT,
                new ListenAddresses(
                        "127.0.0.1:0",
                        "127.0.0.1:0",
                        "/readyz",
                        Fixture.settings().bounds()),
                Clock.system(),
                () -> Fixture.view(phase),
                this,
                new Telemetry(metrics, (event, fields) -> lines.add(event + " " + Arrays.toString(fields))),
                executor);
        this.client = ForwardClient.create(
                httpClient, ForwardTestDialect.DIALECT, Clock.system(), frontend::call, this, executor);
    }

    static ForwardingRelay start(String serverAddress, boolean draining) {
        ForwardingRelay relay = new ForwardingRelay(serverAddress, draining);
        relay.frontend.start();
        return relay;
    }

    int port() {
        return frontend.port();
    }

    /** Returns the log lines of an event so far: its name and its fields. */
    List<String> lines(String event) {
        return lines.stream().filter(line -> line.startsWith(event + " ")).toList();
    }

    /** Applies limits as a document that comes into force does. */
    void apply(CallerBounds bounds) {
        frontend.apply(bounds);
    }

    long counter(String name) {
        return metrics.counter(name).getCount();
    }

    @Override
    public boolean offer(Event event) {
        post(event);
        return true;
    }

    @Override
    public void post(Event event) {
        switch (event) {
            case ForwardEvent.ForwardArrived arrived ->
                client.start(new ForwardEffect.StartForward(
                        arrived.ticket(),
                        1,
                        ServerId.of("i-1"),
                        1,
                        serverAddress,
                        System.nanoTime() + DEADLINE_NANOS,
                        Optional.empty(),
                        0,
                        false));
            case ForwardEvent.ForwardBegan began -> {
                begun.add(began.ticket());
                answerBegun.countDown();
            }
            case ForwardEvent.ForwardEnded ended -> end(ended.ticket(), ended.outcome());
            default -> {}
        }
    }

    private static Failure serverFailed(String reason) {
        return Failure.of(ErrorKind.SERVER_FAILED, reason);
    }

    private void end(long ticket, ForwardOutcome outcome) {
        switch (outcome) {
            case ForwardOutcome.Broken broken ->
                frontend.execute(
                        broken.begun()
                                ? new ForwardEffect.BreakForward(ticket, serverFailed(broken.reason()))
                                : new ForwardEffect.RefuseForward(ticket, serverFailed(broken.reason())));
            case ForwardOutcome.Failed failed -> frontend.execute(new ForwardEffect.PassFailure(ticket));
            case ForwardOutcome.NotSent notSent ->
                frontend.execute(new ForwardEffect.RefuseForward(
                        ticket, Failure.of(ErrorKind.NO_SERVER_AVAILABLE, notSent.reason())));
            case ForwardOutcome.Refused refused ->
                frontend.execute(new ForwardEffect.RefuseForward(ticket, Failure.of(ErrorKind.SERVER_REFUSED)));
            case ForwardOutcome.Completed completed -> {}
            case ForwardOutcome.Cancelled cancelled -> {}
            case ForwardOutcome.Withheld withheld -> {}
        }
    }

    /** Waits until the server's head has arrived, for ten seconds at most. */
    void awaitBegun() throws InterruptedException {
        answerBegun.await(10, TimeUnit.SECONDS);
    }

    /** Ends the answers that have begun, as at their deadline. */
    void timeOut() {
        for (long ticket : begun) {
            client.cancel(ticket);
            frontend.execute(new ForwardEffect.BreakForward(ticket, Failure.of(ErrorKind.DEADLINE_EXCEEDED)));
        }
    }

    /** Closes the listener while answers run. */
    void stopListening() {
        frontend.stop();
    }

    @Override
    public void close() throws Exception {
        frontend.stop();
        httpClient.stop();
        executor.shutdown();
    }
}
