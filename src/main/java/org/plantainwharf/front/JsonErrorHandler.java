package org.plantainwharf.front;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.UUID;
import java.util.function.Supplier;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.ExecutionStatus;
import org.plantainwharf.error.Failure;

/** Answers requests that Jetty itself rejects, in the format of all other errors. Immutable; thread-safe. */
final class JsonErrorHandler implements Request.Handler {
    private final Supplier<HeaderLimit> headerLimit;
    private final LibraryAnswers answers;

    private JsonErrorHandler(Supplier<HeaderLimit> headerLimit, LibraryAnswers answers) {
        this.headerLimit = headerLimit;
        this.answers = answers;
    }

    static JsonErrorHandler create(Supplier<HeaderLimit> headerLimit, LibraryAnswers answers) {
        return new JsonErrorHandler(headerLimit, answers);
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        int libraryStatus = response.getStatus();
        Failure failure = failure(request, libraryStatus);
        @Nullable String present = response.getHeaders().get("X-Request-Id");
        String id = present == null ? UUID.randomUUID().toString() : present;
        answers.record(request, libraryStatus, failure, id);
        response.setStatus(failure.kind().httpStatus());
        response.getHeaders()
                .put("X-Request-Id", id)
                .put("X-Ran", FailureBody.executionStatus(failure))
                .put(HttpHeader.CONTENT_TYPE, "application/json");
        byte[] body = FailureBody.toJson(failure, id).getBytes(StandardCharsets.UTF_8);
        response.write(true, ByteBuffer.wrap(body), callback);
        return true;
    }

    private Failure failure(Request request, int status) {
        @Nullable Throwable cause = LibraryAnswers.cause(request);
        if (cause == null) {
            return failureOfStatus(request, status);
        }
        boolean handled = UnreadBodyHandler.hasHandled(request);
        MessageFault fault = MessageFault.of(request, cause);
        Failure failure =
                switch (fault) {
                    case MessageFault.Malformed malformed -> failureOfStatus(request, status);
                    case MessageFault.EndedEarly ended -> notReceived(fault, handled);
                    case MessageFault.ClosedHere closed -> notReceived(fault, handled);
                    case MessageFault.TimedOut timedOut -> notReceived(fault, handled);
                    case MessageFault.Unexpected unexpected -> notReceived(fault, handled);
                };
        return handled ? failure.withExecutionStatus(ExecutionStatus.UNKNOWN) : failure;
    }

    /** A request that was passed on may have run, so that its caller is told nothing about its message. */
    private static Failure notReceived(MessageFault fault, boolean handled) {
        return handled ? Failure.of(ErrorKind.INTERNAL_ERROR) : fault.failure();
    }

    private Failure failureOfStatus(Request request, int status) {
        return switch (status) {
            // A request line that is too long is reported as 414; the limit is the same.
            case 414, 431 -> headTooLong(request);
            case 404 -> Failure.of(ErrorKind.UNKNOWN_ROUTE, "of this request");
            case 408 -> Failure.of(ErrorKind.BODY_TIMEOUT);
            case 500 -> Failure.of(ErrorKind.INTERNAL_ERROR);
            case 503 -> Failure.of(ErrorKind.DRAINING);
            default -> Failure.of(ErrorKind.REQUEST_INVALID, "the HTTP message is malformed or not supported");
        };
    }

    private Failure headTooLong(Request request) {
        HeaderLimit present = headerLimit.get();
        return present.failure(
                request.getConnectionMetaData().getConnection().getEndPoint() instanceof WatchedEndPoint endPoint
                        ? endPoint.headerLimit()
                        : present);
    }
}
