package org.plantainwharf.identity;

/**
 * Identifies one attempt to run a request on a backend server. Immutable.
 *
 * @param request the request
 * @param number counts the attempts of the request on this host, from 1
 */
public record AttemptId(RequestId request, int number) {
    /** Returns the identifier of an attempt. */
    public static AttemptId of(RequestId request, int number) {
        return new AttemptId(request, number);
    }
}
