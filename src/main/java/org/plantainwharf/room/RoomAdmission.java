package org.plantainwharf.room;

import java.util.Optional;

import org.plantainwharf.room.RoomDecision.Basis;
import org.plantainwharf.room.RoomDecision.Reason;

/**
 * Decides whether a request is let in while room is short. A request that finds a free place is always let in, and one
 * that cannot end before its deadline never is. Among the others, those for whom a place is kept go first, then those
 * that may not repeat, then those within the share of their account and priority. The share counts requests and not their
 * size, and a long prompt is compared with its target as the average one of its priority, so no size is singled out.
 * Stateless.
 */
final class RoomAdmission {
    /** Requests that one account may have let in before its share has paid for them. */
    static final double MAXIMUM_DEBT = 4;

    /** Part of the target that a request may wait in any case, so that long prompts are not refused for their length. */
    private static final double MINIMUM_WAIT_TARGETS = 0.2;

    /** Part of the wait of more urgent requests that a queue of less urgent ones may take. */
    private static final double LESS_URGENT_WAIT_FRACTION = 0.5;

    /** Part of the target that a request may wait without regard to shares, as it makes no other one late. */
    private static final double SHORT_WAIT_TARGETS = 0.1;

    private RoomAdmission() {}

    /**
     * What else a decision depends on.
     *
     * @param credit requests that the share of the account and priority has paid for and that were not let in
     * @param keptPlace whether a place is kept for the request and due
     * @param elapsedMillis time since the caller first asked; 0 for a new request
     * @param averageAnswerMillis time to the start of the answer of the average request of this priority
     * @param belowFloor whether the priority got less than its floor lately
     * @param lessUrgentBelowFloor whether a less urgent priority did
     * @param moreUrgentWaitMillis how long requests of more urgent priorities may wait; infinite if there are none
     */
    record Standing(
            double credit,
            boolean keptPlace,
            long elapsedMillis,
            double averageAnswerMillis,
            boolean belowFloor,
            boolean lessUrgentBelowFloor,
            double moreUrgentWaitMillis) {}

    /** Returns why the request is let in; a reason to refuse it is returned by {@link #reason}. */
    static Optional<Basis> basis(RoomRequest request, Standing standing) {
        RoomRequest.Place place = request.place();
        if (place.waitMillis() + place.answerMillis() > request.remainingMillis()) {
            return Optional.empty();
        }
        if (place.idle()) {
            return Optional.of(Basis.FREE_PLACE);
        }
        if (place.waitMillis() > longestWaitMillis(request, standing)) {
            return standing.belowFloor() ? Optional.of(Basis.FLOOR) : Optional.empty();
        }
        double shortWait = SHORT_WAIT_TARGETS
                * (place.inOrderOfArrival()
                        ? Math.min(request.targetMillis(), standing.moreUrgentWaitMillis())
                        : request.targetMillis());
        if (place.waitMillis() <= shortWait && !standing.lessUrgentBelowFloor()) {
            return Optional.of(Basis.SHORT_WAIT);
        }
        if (standing.keptPlace() && standing.credit() > 1 - MAXIMUM_DEBT) {
            return Optional.of(Basis.KEPT_PLACE);
        }
        if (standing.credit() >= 1) {
            return Optional.of(Basis.SHARE);
        }
        return !request.mayRepeat() && standing.credit() > 1 - MAXIMUM_DEBT
                ? Optional.of(Basis.NOT_REPEATABLE)
                : Optional.empty();
    }

    /** Returns why a request is refused that has no basis to be let in. */
    static Reason reason(RoomRequest request, Standing standing) {
        RoomRequest.Place place = request.place();
        if (place.waitMillis() + place.answerMillis() > request.remainingMillis()) {
            return Reason.DEADLINE;
        }
        return place.waitMillis() > longestWaitMillis(request, standing) ? Reason.TOO_LATE : Reason.SHARE_USED;
    }

    /** Returns how long the request may wait at a server and still be answered within its target. */
    static double longestWaitMillis(RoomRequest request, Standing standing) {
        double answerMillis = Math.min(request.place().answerMillis(), standing.averageAnswerMillis());
        double longest = Math.max(
                MINIMUM_WAIT_TARGETS * request.targetMillis(),
                request.targetMillis() - standing.elapsedMillis() - answerMillis);
        // Where requests begin in the order of arrival, a queue of less urgent ones makes the more urgent ones late.
        return request.place().inOrderOfArrival()
                ? Math.min(longest, LESS_URGENT_WAIT_FRACTION * standing.moreUrgentWaitMillis())
                : longest;
    }
}
