package org.plantainwharf.front;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.http.HttpMethod;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;

/**
 * How a caller recognises the end of an answer's body (RFC 9112, section 6.3). Invariant: an answer that is broken off
 * lacks its mark, also if this process ends without a word. Immutable; thread-safe.
 */
sealed interface EndMarker {
    /** The head declares the length, or the answer has no body. */
    record Length() implements EndMarker {}

    /** A last chunk of size zero. */
    record LastChunk() implements EndMarker {}

    /** The last frame of an HTTP/2 stream. */
    record LastFrame() implements EndMarker {}

    /** The orderly end of the connection; a reset shows that the body is not complete. */
    record OrderlyClose(WatchedEndPoint endPoint) implements EndMarker {}

    /**
     * Determines the mark of an answer and prepares the answer for it. To be called once status and headers are set and
     * before the first byte is written.
     */
    static EndMarker prepare(Request request, Response response) {
        HttpVersion version = request.getConnectionMetaData().getHttpVersion();
        if (version == HttpVersion.HTTP_2) {
            return new LastFrame();
        }
        int status = response.getStatus();
        if (response.getHeaders().contains(HttpHeader.CONTENT_LENGTH)
                || HttpMethod.HEAD.is(request.getMethod())
                || status == HttpStatus.NO_CONTENT_204
                || status == HttpStatus.NOT_MODIFIED_304) {
            return new Length();
        }
        if (version == HttpVersion.HTTP_1_1) {
            // Jetty uses chunks by itself only on connections that stay open.
            response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, HttpHeaderValue.CHUNKED);
            return new LastChunk();
        }
        if (request.getConnectionMetaData().getConnection().getEndPoint() instanceof WatchedEndPoint endPoint) {
            endPoint.setResetOnClose(true);
            return new OrderlyClose(endPoint);
        }
        throw new IllegalStateException("no end marker for answers of " + version);
    }

    /** Permits the mark, once the body is complete except for what is written with the mark. */
    default void beforeLastWrite() {
        switch (this) {
            case OrderlyClose close -> close.endPoint().setResetOnClose(false);
            case Length length -> {}
            case LastChunk lastChunk -> {}
            case LastFrame lastFrame -> {}
        }
    }

    /** Ends the connection without the mark, where Jetty would set it. */
    default void breakOff() {
        switch (this) {
            case OrderlyClose close -> close.endPoint().close();
            case Length length -> {}
            case LastChunk lastChunk -> {}
            case LastFrame lastFrame -> {}
        }
    }

    /** Returns the name used in logs and counters. */
    default String code() {
        return switch (this) {
            case Length length -> "length";
            case LastChunk lastChunk -> "chunks";
            case LastFrame lastFrame -> "frames";
            case OrderlyClose close -> "close";
        };
    }
}
