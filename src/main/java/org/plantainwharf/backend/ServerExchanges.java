package org.plantainwharf.backend;

import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.identity.ModelName;

/** Control requests to backend servers: probes, cache events and orders. Each uses its own connection. Thread-safe. */
final class ServerExchanges {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MAXIMUM_RESPONSE_BYTES = 4 << 20;
    private static final long TIMEOUT_MILLIS = 2_000;

    private final AttemptContext context;

    private ServerExchanges(AttemptContext context) {
        this.context = context;
    }

    static ServerExchanges create(AttemptContext context) {
        return new ServerExchanges(context);
    }

    void probe(ServerEffect.ProbeServer probe) {
        send(get(probe.address(), "/v1/load", probe.timeoutMillis()), (status, body) -> context.events()
                .post(new ServerEvent.ProbeFinished(probe.server(), status == 200)));
    }

    /**
     * Fetches cache events. Posts no event if the request fails or the server has another incarnation than expected.
     */
    void fetchCacheEvents(ServerEffect.FetchCacheEvents fetch) {
        send(
                get(fetch.address(), "/v1/cache-events?after=" + fetch.afterSequence(), TIMEOUT_MILLIS),
                (status, body) -> {
                    if (status != 200 || body.path("incarnation").asLong(-1) != fetch.incarnation()) {
                        context.incrementCounter("backend.cache_events_unread");
                        return;
                    }
                    context.events()
                            .post(new ServerEvent.CacheChanged(
                                    fetch.server(),
                                    fetch.incarnation(),
                                    body.path("first").asLong(),
                                    body.path("last").asLong(),
                                    toLongList(body.path("stored")),
                                    toLongList(body.path("evicted")),
                                    body.path("whole").asBoolean()));
                });
    }

    private static List<Long> toLongList(JsonNode array) {
        List<Long> values = new ArrayList<>(array.size());
        array.forEach(value -> values.add(value.asLong()));
        return values;
    }

    /**
     * Sends an order unless it has expired, then fetches the models that the engine holds. The expiry is checked once
     * the connection is open and before the first byte is written, so that a slow connect cannot deliver an expired
     * order.
     */
    void order(ServerEffect.OrderModels order) {
        ObjectNode body = JSON.createObjectNode().put("fencing", order.fencingNumber());
        ArrayNode models = body.putArray("models");
        order.models().stream().map(ModelName::value).sorted().forEach(models::add);
        Request request = request(HttpMethod.POST, order.address(), "/v1/orders", TIMEOUT_MILLIS)
                .body(new BytesRequestContent(
                        "application/json", body.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8)));
        request.onRequestBegin(begun -> {
            if (context.clock().nowNanos() - order.validUntilNanos() > 0) {
                context.incrementCounter("backend.orders_expired");
                abort(begun);
            }
        });
        send(request, (status, answer) -> fetchModels(order, status == 200));
    }

    /** Aborts a request before it is written. The listener for its response receives the failure. */
    @SuppressWarnings("FutureReturnValueIgnored")
    private static void abort(Request request) {
        request.abort(new IllegalStateException("order expired before it was sent"));
    }

    private void fetchModels(ServerEffect.OrderModels order, boolean accepted) {
        send(get(order.address(), "/v1/orders", TIMEOUT_MILLIS), (status, body) -> context.events()
                .post(new ServerEvent.EngineOrderAnswered(
                        order.server(),
                        order.fencingNumber(),
                        accepted,
                        status == 200 ? joinModelNames(body.path("models")) : "")));
    }

    /** Returns the model names in alphabetical order, separated by commas. */
    private static String joinModelNames(JsonNode models) {
        TreeSet<String> names = new TreeSet<>();
        models.forEach(model -> names.add(model.asText()));
        return String.join(",", names);
    }

    private Request get(String address, String path, long timeoutMillis) {
        return request(HttpMethod.GET, address, path, timeoutMillis);
    }

    private Request request(HttpMethod method, String address, String path, long timeoutMillis) {
        return context.singleUseClient()
                .newRequest(URI.create("http://" + address + path))
                .method(method)
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .headers(headers -> headers.put(HttpHeader.CONNECTION, "close"));
    }

    /**
     * Sends a request. A failure is passed to {@code onAnswer} as status 0, a body that is not JSON as an empty object.
     */
    private static void send(Request request, BiConsumer<Integer, JsonNode> onAnswer) {
        request.send(new BufferingResponseListener(MAXIMUM_RESPONSE_BYTES) {
            @Override
            public void onComplete(Result result) {
                JsonNode body = JSON.createObjectNode();
                if (result.isSucceeded()) {
                    try {
                        body = JSON.readTree(getContentAsString());
                    } catch (JsonProcessingException | IllegalArgumentException e) {
                        body = JSON.createObjectNode();
                    }
                }
                onAnswer.accept(result.isSucceeded() ? result.getResponse().getStatus() : 0, body);
            }
        });
    }
}
