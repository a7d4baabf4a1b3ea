package org.plantainwharf.room;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.RouteName;

/**
 * What admission has to know of a request that asks for room. Times are in milliseconds. Immutable.
 *
 * @param account the caller's account; callers without one share a name
 * @param content identifies the whole request apart from its id
 * @param priority 0 is the most urgent
 * @param mayRepeat whether a caller may send the request again after an attempt that may have run
 * @param targetMillis time to the answer that callers of the route need
 * @param remainingMillis time until the caller gives up
 * @param place what the request finds at the best server
 */
public record RoomRequest(
        AccountName account,
        RouteName route,
        Fingerprint content,
        int priority,
        boolean mayRepeat,
        long targetMillis,
        long remainingMillis,
        Place place) {
    /** Account name of callers without an account. */
    public static final AccountName NO_ACCOUNT = AccountName.of("anonymous");

    /**
     * What a request finds at the best server.
     *
     * @param workMillis time of a server that the request takes, with nothing beside it
     * @param waitMillis time until the server begins the request
     * @param answerMillis time from then until the answer starts, with the way
     * @param idle whether a place is free and nothing waits
     * @param inOrderOfArrival whether the server begins requests in the order of arrival, whatever their priority
     */
    public record Place(
            double workMillis, double waitMillis, double answerMillis, boolean idle, boolean inOrderOfArrival) {}
}
