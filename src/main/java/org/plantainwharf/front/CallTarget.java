package org.plantainwharf.front;

import io.vavr.control.Either;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.identity.RouteName;

/** The resource that a request's path refers to. Immutable. */
sealed interface CallTarget {
    /** A model call. */
    record Chat() implements CallTarget {}

    /** Submission of long work. */
    record Work() implements CallTarget {}

    /** A call to a plain service. */
    record Service(RouteName route) implements CallTarget {}

    /**
     * A query for accepted work.
     *
     * @param includeAnswer whether the answer is requested rather than only the state
     */
    record WorkState(RequestId work, boolean includeAnswer) implements CallTarget {}

    /** The health check of a load balancer. */
    record Health() implements CallTarget {}

    /**
     * Returns the target of a request.
     *
     * @param path decoded path, without query
     * @return the target, or a failure if the path is unknown, the work id is malformed or the method is not allowed
     */
    static Either<Failure, CallTarget> parse(String method, String path) {
        return parsePath(path)
                .filterOrElse(
                        target -> method.equals(requiredMethod(target)),
                        target -> Failure.of(ErrorKind.METHOD_NOT_ALLOWED, ExternalText.sanitize(method)));
    }

    private static Either<Failure, CallTarget> parsePath(String path) {
        switch (path) {
            case "/v1/chat/completions":
                return Either.right(new Chat());
            case "/v1/work":
                return Either.right(new Work());
            case "/health":
                return Either.right(new Health());
            default:
                break;
        }
        String[] parts = path.split("/", -1);
        boolean versioned = parts.length >= 4 && parts[0].isEmpty() && parts[1].equals("v1");
        if (versioned && parts.length == 4 && parts[2].equals("services") && !parts[3].isBlank()) {
            return Either.right(new Service(RouteName.of(parts[3])));
        }
        if (versioned && parts[2].equals("work")) {
            boolean stateRequested = parts.length == 4;
            boolean answerRequested = parts.length == 5 && parts[4].equals("result");
            if (stateRequested || answerRequested) {
                return parts[3].matches("[A-Za-z0-9_-]{1,80}")
                        ? Either.right(new WorkState(RequestId.of(parts[3]), answerRequested))
                        : Either.left(Failure.of(ErrorKind.WORK_NOT_FOUND, ExternalText.sanitize(parts[3])));
            }
        }
        return Either.left(Failure.of(ErrorKind.UNKNOWN_ROUTE, ExternalText.sanitize(path)));
    }

    private static String requiredMethod(CallTarget target) {
        return switch (target) {
            case Chat chat -> "POST";
            case Work work -> "POST";
            case Service service -> "POST";
            case WorkState state -> "GET";
            case Health health -> "GET";
        };
    }
}
