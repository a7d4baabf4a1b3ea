package org.plantainwharf.platform;

import java.net.URI;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpMethod;
import org.plantainwharf.backend.HttpClients;
import org.plantainwharf.control.EventSink;
import org.plantainwharf.daemon.CloudApi;
import org.plantainwharf.duty.ProviderAnswer;
import org.plantainwharf.effect.DutyEffect;
import org.plantainwharf.event.DutyEvent;
import org.plantainwharf.log.LineLog;

/** HTTP client of the cloud API. Thread-safe. */
final class CloudApiClient implements CloudApi {
    private static final int CLIENT_THREADS = 4;
    private static final long IDLE_TIMEOUT_MILLIS = 4_000;

    /** The API responds within about ten milliseconds; a call without a response after this time counts as unanswered. */
    private static final long REQUEST_TIMEOUT_MILLIS = 1_200;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final String address;
    private final String dutyHolder;
    private final EventSink events;
    private final LineLog log;
    private final HttpClient client = HttpClients.start("cloud-api", CLIENT_THREADS, IDLE_TIMEOUT_MILLIS);

    private CloudApiClient(String address, String dutyHolder, EventSink events, LineLog log) {
        this.address = address;
        this.dutyHolder = dutyHolder;
        this.events = events;
        this.log = log;
    }

    /**
     * Returns a client.
     *
     * @param address IP address and port of the cloud API
     * @param dutyHolder name of this daemon, sent with each call
     */
    static CloudApiClient create(String address, String dutyHolder, EventSink events, LineLog log) {
        return new CloudApiClient(address, dutyHolder, events, log);
    }

    @Override
    public void execute(DutyEffect effect) {
        switch (effect) {
            case DutyEffect.ReportUsage usage -> {
                ObjectNode body = JSON.createObjectNode().put("window_id", usage.window());
                ObjectNode counts = body.putObject("counts");
                usage.requests().forEach((account, count) -> counts.put(account.value(), count.longValue()));
                post(
                        WireNames.USAGE_PATH,
                        usage.fencingNumber(),
                        body,
                        answer -> events.post(
                                new DutyEvent.UsageAnswered(usage.window(), usage.fencingNumber(), answer)));
            }
            case DutyEffect.OrderServers order -> {
                ObjectNode body = JSON.createObjectNode()
                        .put("service", order.pool().service().value())
                        .put("zone", order.pool().zone().value())
                        .put("desired_count", order.serverCount());
                if (order.pool().reclaimable()) {
                    body.put("spot", true);
                }
                post(
                        WireNames.SCALE_PATH,
                        order.fencingNumber(),
                        body,
                        answer -> events.post(new DutyEvent.OrderAnswered(
                                order.pool(), order.serverCount(), order.fencingNumber(), answer)));
            }
        }
    }

    private void post(String path, long fencingNumber, ObjectNode body, Consumer<ProviderAnswer> onAnswer) {
        client.newRequest(URI.create("http://" + address + path))
                .method(HttpMethod.POST)
                .timeout(REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .headers(headers -> headers.put(WireNames.DUTY_HOLDER_HEADER, dutyHolder)
                        .put(WireNames.FENCING_TOKEN_HEADER, String.valueOf(fencingNumber)))
                .body(new StringRequestContent("application/json", body.toString()))
                .send(new BufferingResponseListener() {
                    @Override
                    public void onComplete(Result result) {
                        int status = result.isSucceeded() ? result.getResponse().getStatus() : 0;
                        log.write("cloud_api_answered", "path", path, "status", status, "body", body.toString());
                        onAnswer.accept(toAnswer(status));
                    }
                });
    }

    private static ProviderAnswer toAnswer(int status) {
        return switch (status) {
            case 200 -> ProviderAnswer.DONE;
            case 409 -> ProviderAnswer.CONFLICT;
            case 429 -> ProviderAnswer.BUSY;
            default -> ProviderAnswer.UNKNOWN;
        };
    }

    @Override
    public void stop() {
        try {
            client.stop();
        } catch (Exception e) {
            log.write("cloud_api_stop_failed", "problem", String.valueOf(e));
        }
    }
}
