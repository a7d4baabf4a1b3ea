package org.plantainwharf.standin;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;
import org.jspecify.annotations.Nullable;

/** An HTTP request to a stand-in, with its complete body, and its response. Not thread-safe; used by one thread at a time. */
final class StandInExchange {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Request request;
    private final Response response;
    private final Callback callback;
    private final byte[] body;

    private StandInExchange(Request request, Response response, Callback callback, byte[] body) {
        this.request = request;
        this.response = response;
        this.callback = callback;
        this.body = body;
    }

    static StandInExchange create(Request request, Response response, Callback callback, byte[] body) {
        return new StandInExchange(request, response, callback, body);
    }

    String header(String name) {
        @Nullable String value = request.getHeaders().get(name);
        return value == null ? "" : value;
    }

    String parameter(String name) {
        Fields fields = Request.extractQueryParameters(request);
        @Nullable String value = fields.getValue(name);
        return value == null ? "" : value;
    }

    /** Returns the decoded path without a prefix. */
    String pathAfter(String prefix) {
        return String.valueOf(request.getHttpURI().getDecodedPath()).substring(prefix.length());
    }

    byte[] body() {
        return body;
    }

    String bodyText() {
        return new String(body, StandardCharsets.UTF_8);
    }

    /** Returns the body as JSON, or an empty object if it is not valid JSON. */
    JsonNode json() {
        try {
            return JSON.readTree(bodyText());
        } catch (JsonProcessingException e) {
            return JSON.createObjectNode();
        }
    }

    static ObjectNode newObject() {
        return JSON.createObjectNode();
    }

    /** Sets the headers that identify the request, with a request ID of another request if {@code wrongIdentity} is true. */
    StandInExchange echo(boolean wrongIdentity) {
        response.getHeaders()
                .put("X-Request-Id", wrongIdentity ? "another-request" : header("X-Request-Id"))
                .put("X-Attempt", header("X-Attempt"));
        return this;
    }

    StandInExchange setHeader(String name, String value) {
        response.getHeaders().put(name, value);
        return this;
    }

    void reply(int status, ObjectNode answer) {
        reply(status, "application/json", answer.toString().getBytes(StandardCharsets.UTF_8));
    }

    void reply(int status, String mediaType, byte[] bytes) {
        response.setStatus(status);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, mediaType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
        response.write(true, ByteBuffer.wrap(bytes), callback);
    }

    /** Declares the full content length, sends half of the body and closes the connection. */
    void replyTruncated(String mediaType, byte[] bytes) {
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, mediaType);
        response.getHeaders().put(HttpHeader.CONTENT_LENGTH, bytes.length);
        response.write(
                false, ByteBuffer.wrap(bytes, 0, bytes.length / 2), Callback.from(this::closeConnection, x -> {}));
    }

    /** Replies with status 503 and a header that states that the call was not executed. */
    void refuse(boolean leaving) {
        setHeader("X-Not-Run", "true");
        if (leaving) {
            setHeader("X-Leaving", "true");
        }
        reply(503, newObject().put("error", "refused before running"));
    }

    /** Sets the response headers of an event stream. */
    void beginStream() {
        response.setStatus(200);
        response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
    }

    /**
     * Writes one event.
     *
     * @param next runs after the event was written to the connection
     * @param onLost runs if the write fails because the connection was closed
     */
    void event(String data, Runnable next, Runnable onLost) {
        byte[] bytes = ("data: " + data + "\n\n").getBytes(StandardCharsets.UTF_8);
        response.write(false, ByteBuffer.wrap(bytes), Callback.from(next, cause -> onLost.run()));
    }

    void endStream() {
        response.write(true, ByteBuffer.allocate(0), callback);
    }

    void closeConnection() {
        connection().close();
        callback.failed(new IllegalStateException("connection closed by the stand-in"));
    }

    /** Returns the connection on which the request was received. */
    EndPoint connection() {
        return request.getConnectionMetaData().getConnection().getEndPoint();
    }
}
