package org.plantainwharf.identity;

/**
 * Identifies one attempt to run a request on a backend server. Immutable.
 *
 * @param request id of the request
 * @param number number of the attempt among those of the request on this host, starting at 1
 */
public record AttemptId(RequestId request, int number) {
    /** Returns the identifier of an attempt. */
    public static AttemptId of(RequestId request, int number) {
        return new AttemptId(request, number);
    }
}
