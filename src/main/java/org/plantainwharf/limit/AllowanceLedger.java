package org.plantainwharf.limit;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.document.AccountRule;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.AllowanceShare;
import org.plantainwharf.message.AllowanceUse;
import org.plantainwharf.message.PeerMessage;

/**
 * A control daemon's account of what all entry daemons have passed on. Every control daemon keeps one, so that the next
 * leader goes on with what it heard itself. Amounts are tokens or requests, as the limit counts. Owned by the control
 * thread.
 */
final class AllowanceLedger {
    /** A daemon that was not heard for this long holds no valid grant and gets no part of the limits. */
    static final long FORGET_NANOS = TimeUnit.MILLISECONDS.toNanos(AllowanceController.VALID_MILLIS + 500);

    /** Room above the present demand, so that growth within a period is not refused. */
    private static final double HEADROOM = 1.5;

    /** Part of a limit that is always spread evenly, so that a jump meets a share wherever it lands. */
    private static final double EVEN_PART = 0.5;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Map<HostId, Source> sources = new LinkedHashMap<>();
    private final Map<AccountName, Debt> debts = new HashMap<>();

    /** What was heard from one entry daemon in one run of it. */
    private static final class Source {
        private final long incarnation;
        private final Map<AccountName, Double> counted = new HashMap<>();
        private Map<AccountName, Double> askedPerSecond = Map.of();
        private long heardNanos;

        Source(long incarnation) {
            this.incarnation = incarnation;
        }
    }

    /** What is owed for an account at a moment. Immutable. */
    private record Debt(double amount, long atNanos) {}

    /** Takes a report of an entry daemon. */
    void report(
            HostId host,
            long incarnation,
            PeerMessage.AllowanceReport report,
            ServiceDocument document,
            long nowNanos) {
        @Nullable Source known = sources.get(host);
        Source source = known != null && known.incarnation == incarnation ? known : new Source(incarnation);
        sources.put(host, source);
        source.heardNanos = nowNanos;
        Map<AccountName, Double> asked = new HashMap<>();
        for (AccountRule account : document.accounts()) {
            @Nullable AllowanceUse use = report.uses().get(account.name());
            if (use != null && account.limited()) {
                asked.put(account.name(), use.askedPerSecond());
                count(source, account, use, report.ungranted(), nowNanos);
            }
        }
        source.askedPerSecond = asked;
    }

    private void count(Source source, AccountRule account, AllowanceUse use, boolean ungranted, long nowNanos) {
        @Nullable Double counted = source.counted.put(account.name(), use.used());
        double owed = debt(account, nowNanos);
        if (counted == null && !ungranted) {
            // What was counted by another control daemon is contained in the debt that the sender knows.
            owed = Math.max(owed, use.debt());
        } else {
            owed += use.used() - (counted == null ? 0 : counted);
        }
        debts.put(account.name(), new Debt(Math.max(0, owed), nowNanos));
    }

    private double debt(AccountRule account, long nowNanos) {
        @Nullable Debt debt = debts.get(account.name());
        return debt == null
                ? 0
                : Math.max(0, debt.amount() - account.ratePerSecond() * (nowNanos - debt.atNanos()) / NANOS_PER_SECOND);
    }

    /** Returns the hosts that get grants. */
    List<HostId> hosts(long nowNanos) {
        return sources.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().heardNanos < FORGET_NANOS)
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns the shares of every host, for accounts that were asked for or owe something. */
    Map<HostId, Map<AccountName, AllowanceShare>> shares(ServiceDocument document, long nowNanos) {
        List<HostId> hosts = hosts(nowNanos);
        Map<HostId, Map<AccountName, AllowanceShare>> shares = new LinkedHashMap<>();
        hosts.forEach(host -> shares.put(host, new HashMap<>()));
        for (AccountRule account : document.accounts()) {
            if (account.limited()) {
                divide(account, hosts, shares, nowNanos);
            }
        }
        return shares;
    }

    /** Gives each daemon what it asks for with some room, scaled down to the limit, and spreads the rest evenly. */
    private void divide(
            AccountRule account,
            List<HostId> hosts,
            Map<HostId, Map<AccountName, AllowanceShare>> shares,
            long nowNanos) {
        double owed = debt(account, nowNanos);
        double wanted = HEADROOM
                * hosts.stream()
                        .mapToDouble(host -> asked(host, account.name()))
                        .sum();
        double scale = wanted <= 0 ? 0 : Math.min(1, (1 - EVEN_PART) * account.ratePerSecond() / wanted);
        double rest = (account.ratePerSecond() - wanted * scale) / hosts.size();
        for (HostId host : hosts) {
            @Nullable Source source = sources.get(host);
            @Nullable Double counted = source == null ? null : source.counted.get(account.name());
            if (owed > 0 || wanted > 0 || counted != null) {
                double rate = HEADROOM * asked(host, account.name()) * scale + rest;
                shares.computeIfAbsent(host, key -> new HashMap<>())
                        .put(
                                account.name(),
                                new AllowanceShare(
                                        owed, counted == null ? 0 : counted, rate / account.ratePerSecond()));
            }
        }
    }

    private double asked(HostId host, AccountName account) {
        @Nullable Source source = sources.get(host);
        return source == null ? 0 : source.askedPerSecond.getOrDefault(account, 0.0);
    }
}
