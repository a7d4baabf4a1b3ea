package org.plantainwharf.front;

import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;

/** Reads headers and size-limited bodies of HTTP requests. Stateless; thread-safe. */
public final class RequestReader {
    private static final List<String> SINGLE_HEADERS =
            List.of("Authorization", "X-Rank", "Idempotency-Key", "Content-Type");

    private RequestReader() {}

    /** Returns the headers of a call. A repeated header is refused, since either value could be the intended one. */
    static Either<Failure, CallerHeaders> readHeaders(Request request) {
        for (String name : SINGLE_HEADERS) {
            if (request.getHeaders().stream().filter(field -> field.is(name)).count() > 1) {
                return Either.left(Failure.of(ErrorKind.REQUEST_INVALID, "header " + name + " occurs more than once"));
            }
        }
        return Either.right(new CallerHeaders(
                value(request, "Authorization"),
                value(request, "X-Rank"),
                value(request, "Idempotency-Key"),
                value(request, "Content-Type")));
    }

    /** Returns whether two hexadecimal digits follow each percent sign of a request target. */
    static boolean hasValidEscapes(@Nullable String target) {
        if (target == null) {
            return true;
        }
        for (int at = target.indexOf('%'); at >= 0; at = target.indexOf('%', at + 1)) {
            if (at + 2 >= target.length()
                    || !HexFormat.isHexDigit(target.charAt(at + 1))
                    || !HexFormat.isHexDigit(target.charAt(at + 2))) {
                return false;
            }
        }
        return true;
    }

    private static Optional<String> value(Request request, String name) {
        return Optional.ofNullable(request.getHeaders().getField(name)).map(HttpField::getValue);
    }

    /**
     * Reads the body of a request without blocking. Its memory stays reserved until the request has ended.
     *
     * @param maximumBytes largest body
     * @param budget memory that all bodies share
     * @param onRead receives the body, or a failure if it is too large, incomplete or late, or has no memory left; run on
     *     an HTTP server thread
     */
    public static void readBody(
            Request request, int maximumBytes, BodyBudget budget, Consumer<Either<Failure, byte[]>> onRead) {
        BodyReader.start(request, maximumBytes, budget, onRead);
    }
}
