package org.plantainwharf.http;

import java.util.Set;

/**
 * Names of the headers of requests that are passed on, as one kind of caller and server speaks them. Immutable.
 *
 * @param requestId id of a request, echoed by servers
 * @param deadline time that the caller waits, in milliseconds
 * @param keyScheme scheme of {@code Authorization} that precedes the key
 * @param account account name told to servers
 * @param expectedServer id of the server that alone may run the request
 * @param priority urgency told to model engines, 0 first
 * @param seal mark of a server's own answer
 * @param notRun on a server's refusal, says that the request has not run
 * @param load load of the server: running, waiting and slots, separated by commas
 * @param model model that is asked for
 * @param tokenCounts prompt tokens and most output tokens, separated by a comma
 * @param prompt parts of the prompt as id:tokens, separated by commas
 * @param withheld request headers that only this system may set
 */
public record ForwardDialect(
        String requestId,
        String deadline,
        String keyScheme,
        String account,
        String expectedServer,
        String priority,
        String seal,
        String notRun,
        String load,
        String model,
        String tokenCounts,
        String prompt,
        Set<String> withheld) {
    /** Copies the set. */
    public ForwardDialect {
        withheld = Set.copyOf(withheld);
    }
}
