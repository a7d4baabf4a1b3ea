package org.plantainwharf.http;

import java.util.Set;

/**
 * Header names that one kind of callers and servers uses for forwarded requests. Each component is the name of a header
 * unless stated otherwise. Immutable.
 *
 * @param requestId carries the request id, which servers echo in the response
 * @param deadline carries the time until the deadline, in milliseconds
 * @param authorizationScheme authentication scheme that precedes the account key in the {@code Authorization} header
 * @param account carries the account name to servers
 * @param expectedServer carries the id of the only server that may run the request
 * @param priority carries the priority for model engines; 0 runs first
 * @param seal response header that shows that the server itself produced the response
 * @param notRun response header of a refusal that states that the request has not run
 * @param load response header with the server's running requests, waiting requests and slots, and from some servers the
 *     time that work takes in percent of the usual, separated by commas
 * @param requestLimit response header with the requests per second that the server accepts from all daemons together
 * @param leaving response header of a server that wants no new requests any more; its value is 1
 * @param model carries the name of the requested model
 * @param tokenCounts carries the number of prompt tokens and the maximum number of output tokens, separated by a comma
 * @param promptParts carries the parts of the prompt as id:tokens, separated by commas
 * @param resumes names the attempt that brought the first event of a stream that the caller takes up
 * @param handedOver shows that another entry daemon has handed the request over; its value is 1
 * @param reservedHeaders names in lower case of request headers that only this system may set; those of callers are removed
 */
public record ForwardDialect(
        String requestId,
        String deadline,
        String authorizationScheme,
        String account,
        String expectedServer,
        String priority,
        String seal,
        String notRun,
        String load,
        String requestLimit,
        String leaving,
        String model,
        String tokenCounts,
        String promptParts,
        String resumes,
        String handedOver,
        Set<String> reservedHeaders) {
    /** Copies the set of header names. */
    public ForwardDialect {
        reservedHeaders = Set.copyOf(reservedHeaders);
    }
}
