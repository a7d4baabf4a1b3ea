package org.plantainwharf.standin;

import java.net.URI;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;

/**
 * Announces a stand-in every 500 ms to the first operator address that answers, and echoes the token most recently
 * received from that address. Thread-safe.
 */
final class Announcer implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long ANNOUNCEMENT_PERIOD_MILLIS = 500;
    private static final long REQUEST_TIMEOUT_MILLIS = 1_000;

    private final List<String> operators;
    private final Supplier<ObjectNode> announcement;
    private final Map<String, Long> tokens = new ConcurrentHashMap<>();
    private final HttpClient client = new HttpClient();
    private final ScheduledExecutorService timer =
            Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "announcer"));
    private long sequence;
    private int currentOperator;

    private Announcer(List<String> operators, Supplier<ObjectNode> announcement) {
        this.operators = List.copyOf(operators);
        this.announcement = announcement;
    }

    /**
     * Returns a started announcer.
     *
     * @param announcement supplies all fields except sequence and token
     * @throws IllegalStateException if the HTTP client cannot be started
     */
    static Announcer start(List<String> operators, Supplier<ObjectNode> announcement) {
        Announcer announcer = new Announcer(operators, announcement);
        try {
            announcer.client.start();
        } catch (Exception e) {
            throw new IllegalStateException("HTTP client of the announcer cannot be started", e);
        }
        announcer.timer.scheduleWithFixedDelay(
                announcer::announce, 0, ANNOUNCEMENT_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        return announcer;
    }

    /** Sends one announcement and returns after an address has accepted it or each address was tried once. */
    synchronized void announce() {
        ObjectNode body = announcement.get();
        body.put("sequence", ++sequence);
        for (int count = 0; count < operators.size(); count++) {
            String address = operators.get(currentOperator);
            body.put("token", tokens.getOrDefault(address, 0L));
            if (send(address, body)) {
                return;
            }
            currentOperator = (currentOperator + 1) % operators.size();
        }
    }

    private boolean send(String address, ObjectNode body) {
        try {
            ContentResponse response = client.newRequest(URI.create("http://" + address + "/servers/announce"))
                    .method(HttpMethod.POST)
                    .timeout(REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                    .body(new StringRequestContent("application/json", body.toString()))
                    .send();
            if (response.getStatus() != 200) {
                return false;
            }
            tokens.put(
                    address,
                    JSON.readTree(response.getContentAsString()).path("token").asLong());
            return true;
        } catch (java.util.concurrent.TimeoutException
                | java.util.concurrent.ExecutionException
                | JsonProcessingException e) {
            LOGGER.atFine().log("event=announcement_failed address=%s", address);
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    @Override
    public void close() {
        timer.shutdownNow();
        try {
            client.stop();
        } catch (Exception e) {
            LOGGER.atWarning().withCause(e).log("event=announcer_stop_failed");
        }
    }
}
