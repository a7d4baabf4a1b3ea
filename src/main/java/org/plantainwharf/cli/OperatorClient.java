package org.plantainwharf.cli;

import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpMethod;

/** HTTP client for the operator address of one daemon. Used by one thread. */
final class OperatorClient implements AutoCloseable {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    /** Exceeds the 10 s within which a daemon answers an operator request. */
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(15);
    /** Sufficient for the status of several thousand backend servers. */
    private static final int MAXIMUM_RESPONSE_BYTES = 16 << 20;

    private final HttpClient client;
    private final String address;

    private OperatorClient(HttpClient client, String address) {
        this.client = client;
        this.address = address;
    }

    /**
     * Returns a started client for the daemon at an operator address.
     *
     * @throws IllegalStateException if the HTTP client cannot be started
     */
    static OperatorClient open(String address) {
        HttpClient client = new HttpClient();
        client.setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        try {
            client.start();
        } catch (Exception e) {
            throw new IllegalStateException("HTTP client cannot be started", e);
        }
        return new OperatorClient(client, address);
    }

    /** Sends a GET request. Returns the response body, or an error message for an error status or a failed request. */
    Either<String, String> get(String path) {
        return request(HttpMethod.GET, path).flatMap(this::send);
    }

    /** Sends a POST request. Returns the response body, or an error message for an error status or a failed request. */
    Either<String, String> post(String path, String mediaType, byte[] body) {
        return request(HttpMethod.POST, path)
                .map(request -> request.body(new BytesRequestContent(mediaType, body)))
                .flatMap(this::send);
    }

    @Override
    public void close() {
        try {
            client.stop();
        } catch (Exception e) {
            throw new IllegalStateException("HTTP client cannot be stopped", e);
        }
    }

    private Either<String, Request> request(HttpMethod method, String path) {
        try {
            return Either.right(client.newRequest("http://" + address + path)
                    .method(method)
                    .timeout(RESPONSE_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS));
        } catch (IllegalArgumentException e) {
            return Either.left("operator address " + address + " is not an IP address and a port");
        }
    }

    private Either<String, String> send(Request request) {
        try {
            ContentResponse response = new CompletableResponseListener(request, MAXIMUM_RESPONSE_BYTES)
                    .send()
                    .get();
            String body = response.getContentAsString();
            return response.getStatus() < 300
                    ? Either.right(body)
                    : Either.left(errorMessage(response.getStatus(), body));
        } catch (ExecutionException e) {
            Throwable cause = e.getCause() == null ? e : e.getCause();
            return Either.left(
                    cause instanceof TimeoutException
                            ? "no answer from " + address + " within " + RESPONSE_TIMEOUT.toSeconds() + " s"
                            : "no answer from " + address + ": " + cause.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left("interrupted while waiting for " + address);
        }
    }

    private static String errorMessage(int status, String body) {
        try {
            JsonNode error = MAPPER.readTree(body).path("error");
            if (error.isObject()) {
                return error.path("code").asText() + ": "
                        + error.path("message").asText();
            }
            if (error.isTextual()) {
                return "status " + status + ": " + error.textValue();
            }
        } catch (JsonProcessingException e) {
            // The body is not in the daemon's JSON error format and is reported unchanged.
        }
        return "status " + status + ": " + body.strip();
    }
}
