package org.plantainwharf.forward;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.document.AccountRule;
import org.plantainwharf.document.NewestDocument;
import org.plantainwharf.document.RouteRule;
import org.plantainwharf.document.RouteTable;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.quarantine.Blame;

/**
 * Determines route, account and service of an arriving request, refuses blamed content and enforces the account's limit.
 * Used by the forward controller on the control thread.
 */
final class ForwardAdmission {
    /** Minimum Retry-After for a caller over its limit. */
    private static final long MINIMUM_RETRY_AFTER_MILLIS = 100;

    /** Retry-After while a newer service document may know a route or key: documents are in force everywhere in seconds. */
    private static final long OUTDATED_RETRY_AFTER_MILLIS = 1_000;

    private static final long HELPER_FULL_RETRY_AFTER_MILLIS = 200;

    private final AccountLimits accounts;

    ForwardAdmission(AccountLimits accounts) {
        this.accounts = accounts;
    }

    /** Returns the call to forward. Refuses a request that may not be forwarded, and returns empty. */
    Optional<ForwardCall> admit(ForwardEvent.ForwardArrived arrived, Board board, long nowNanos, Effects effects) {
        ForwardHead head = arrived.head();
        if (board.drain().refusesCalls()) {
            refuse(arrived, Failure.of(ErrorKind.DRAINING), effects);
            return Optional.empty();
        }
        if (head.handedOver()
                && 2 * board.forward().calls().size()
                        >= board.settings().bounds().eventQueueCapacity()) {
            // The rest is kept for this daemon's own callers.
            refuse(
                    arrived,
                    Failure.of(ErrorKind.HELPER_FULL)
                            .withRetryAfter(RetryAfter.limitedBy(head, HELPER_FULL_RETRY_AFTER_MILLIS)),
                    effects);
            return Optional.empty();
        }
        Optional<RouteTable> table = board.documents().table();
        if (table.isEmpty()) {
            refuse(
                    arrived,
                    Failure.of(ErrorKind.CONFIGURATION_MISSING)
                            .withRetryAfter(RetryAfter.untilFirstDocument(
                                    head,
                                    (nowNanos - board.forward().missingDocumentSince(nowNanos)) / 1_000_000,
                                    board.random().nextDouble())),
                    effects);
            return Optional.empty();
        }
        Optional<RouteRule> route = table.get().route(head.host(), head.path());
        if (route.isEmpty()) {
            refuseUnknown(arrived, Failure.of(ErrorKind.UNKNOWN_ROUTE, head.path()), board, nowNanos, effects);
            return Optional.empty();
        }
        Optional<AccountRule> account = head.key().flatMap(table.get()::account);
        if (account.isEmpty() && table.get().requiresKeys() && !route.get().allowsAnonymous()) {
            refuseUnknown(arrived, Failure.of(ErrorKind.UNAUTHENTICATED), board, nowNanos, effects);
            return Optional.empty();
        }
        Optional<Blame> blame = board.quarantine().blame(head.fingerprints(), nowNanos, board.wallClockMillis());
        if (blame.isPresent()) {
            logBlame(head, route.get(), blame.get(), effects);
            refuse(arrived, refusal(blame.get(), head), effects);
            return Optional.empty();
        }
        ForwardCall call = createCall(arrived, route.get(), account, board);
        if (account.isPresent()
                && account.get().limited()
                && !accounts.tryCharge(account.get(), call, board, nowNanos)) {
            refuseOverLimit(arrived, account.get(), call, board, nowNanos, effects);
            return Optional.empty();
        }
        return Optional.of(call);
    }

    /** Refuses what the document in force does not know. The request is wrong only if that document is the newest one. */
    private static void refuseUnknown(
            ForwardEvent.ForwardArrived arrived, Failure unknown, Board board, long nowNanos, Effects effects) {
        Failure failure = NewestDocument.isInForce(board, nowNanos)
                ? unknown
                : Failure.of(ErrorKind.CONFIGURATION_OUTDATED)
                        .withRetryAfter(RetryAfter.limitedBy(arrived.head(), OUTDATED_RETRY_AFTER_MILLIS));
        effects.log(
                "document_lacks_entry",
                "request",
                arrived.head().requestId(),
                "kind",
                unknown.kind().code(),
                "version",
                board.documents().version(),
                "log_copy",
                NewestDocument.describeLogCopy(board, nowNanos));
        refuse(arrived, failure, effects);
    }

    private static void logBlame(ForwardHead head, RouteRule route, Blame blame, Effects effects) {
        Blame.Evidence evidence = blame.evidence();
        effects.log(
                "content_quarantined",
                "request",
                head.requestId(),
                "route",
                route.name(),
                "content",
                evidence.content().value(),
                "crashes",
                evidence.crashes(),
                "known_crashes",
                evidence.knownCrashes(),
                "since_crash_ms",
                evidence.sinceLastCrashMillis());
    }

    /** Returns the refusal of a request with blamed content. Only proof makes the request itself wrong. */
    static Failure refusal(Blame blame, ForwardHead head) {
        return switch (blame) {
            case Blame.Proven proven -> Failure.of(ErrorKind.REQUEST_QUARANTINED);
            case Blame.Suspected suspected ->
                Failure.of(ErrorKind.CONTENT_SUSPECTED)
                        .withRetryAfter(RetryAfter.limitedBy(head, suspected.remainingMillis()));
        };
    }

    private static ForwardCall createCall(
            ForwardEvent.ForwardArrived arrived, RouteRule route, Optional<AccountRule> account, Board board) {
        // A caller without time left is one whose deadline has passed.
        long timeoutMillis = Math.max(
                0,
                Math.min(route.timeoutMillis(), arrived.head().deadlineMillis().orElse(route.timeoutMillis())));
        double cost = account.map(rule -> rule.cost(arrived.head())).orElse(0.0);
        return new ForwardCall(
                arrived.ticket(),
                arrived.head(),
                route,
                account,
                route.chooseService(board.random()),
                new ForwardCall.Admission(
                        arrived.arrivedNanos(),
                        arrived.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis),
                        cost));
    }

    private void refuseOverLimit(
            ForwardEvent.ForwardArrived arrived,
            AccountRule account,
            ForwardCall call,
            Board board,
            long nowNanos,
            Effects effects) {
        long waitMillis = accounts.millisUntilAvailable(account, call, board, nowNanos);
        effects.log(
                "limit_reached",
                "request",
                arrived.head().requestId(),
                "account",
                account.name(),
                "cost",
                call.admission().cost(),
                "limit",
                account.ratePerSecond(),
                "part",
                board.allowances().share(account, nowNanos),
                "wait_ms",
                waitMillis,
                "version",
                board.documents().version());
        Failure failure = Failure.of(ErrorKind.ACCOUNT_LIMIT_EXCEEDED, account.name())
                .withRetryAfter(RetryAfter.limitedBy(arrived.head(), Math.max(waitMillis, MINIMUM_RETRY_AFTER_MILLIS)));
        KindTally.arrived(call, effects);
        KindTally.failed(call, failure, board, nowNanos, effects);
        refuse(arrived, failure, effects);
    }

    private static void refuse(ForwardEvent.ForwardArrived arrived, Failure failure, Effects effects) {
        effects.log(
                "request_refused",
                "request",
                arrived.head().requestId(),
                "kind",
                failure.kind().code(),
                "message",
                failure.message());
        effects.count(failure.kind().metricName());
        effects.add(new ForwardEffect.RefuseForward(arrived.ticket(), failure));
    }
}
