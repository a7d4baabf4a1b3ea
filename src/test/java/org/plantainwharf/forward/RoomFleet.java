package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;

/**
 * A site of 26 entry daemons before 63 engines in four zones, with three kinds of request of 16 accounts, three of which
 * ask for almost half. Used by one thread.
 */
final class RoomFleet {
    static final List<String> KINDS = List.of("question", "review", "summary");
    static final int ACCOUNTS = 16;
    private static final int ENGINES = 63;
    private static final int DAEMONS = 26;
    private static final double[] SPEEDS = {0.6, 1, 1.6, 1};
    private static final List<EngineFleet.Kind> DEFINED = List.of(
            new EngineFleet.Kind("question", 0, 140, 300, 0, 400, 500, 32, 500, 4_000, 1),
            new EngineFleet.Kind("review", 1, 32, 2_000, 4_000, 300, 6_000, 60, 1_000, 6_000, 4),
            new EngineFleet.Kind("summary", 2, 70, 400, 0, 300, 2_000, 60, 500, 4_000, 0.6));

    private final EngineFleet fleet;

    private RoomFleet(EngineFleet fleet) {
        this.fleet = fleet;
    }

    /** Returns a site whose servers have answered usual load for some seconds. */
    static RoomFleet usual(EngineFleet.Sharing sharing, long seed) {
        RoomFleet site = empty(sharing, seed);
        site.fleet.advance(6_000);
        site.fleet.resetOutcomes();
        return site;
    }

    /** Returns a site whose long prompts all share one part. */
    static RoomFleet withHotPart(EngineFleet.Sharing sharing, long seed) {
        List<EngineFleet.Kind> kinds = new ArrayList<>(DEFINED);
        kinds.set(1, new EngineFleet.Kind("review", 1, 32, 2_000, 4_000, 1, 6_000, 60, 1_000, 6_000, 4));
        RoomFleet site = create(sharing, kinds, seed);
        site.fleet.advance(6_000);
        site.fleet.resetOutcomes();
        return site;
    }

    /** Returns a site that has just started. */
    static RoomFleet empty(EngineFleet.Sharing sharing, long seed) {
        return create(sharing, DEFINED, seed);
    }

    private static RoomFleet create(EngineFleet.Sharing sharing, List<EngineFleet.Kind> kinds, long seed) {
        double[] accounts = new double[ACCOUNTS];
        for (int account = 0; account < ACCOUNTS; account++) {
            accounts[account] = account < 3 ? 0.15 : 0.55 / 13;
        }
        return new RoomFleet(new EngineFleet(
                new EngineFleet.Shape(DAEMONS, ENGINES, 4, SPEEDS, 38.7, new EngineFleet.Policy.Product())
                        .withRoom(sharing, 16, accounts),
                kinds,
                seed));
    }

    EngineFleet fleet() {
        return fleet;
    }

    /** Makes the three large accounts ask for six times their usual, and loses a zone. */
    void peak() {
        for (int account = 0; account < 3; account++) {
            fleet.setAccountLoad(account, 6);
        }
        loseZone();
    }

    void loseZone() {
        for (int engine = 0; engine < ENGINES; engine += 4) {
            fleet.stopEngine("i-" + engine);
        }
    }

    /** Returns the worth served of the worth asked, of one kind. */
    double worth(String kind) {
        return worth(of(kind));
    }

    private static double worth(EngineFleet.Outcomes of) {
        return of.earned / of.owed;
    }

    EngineFleet.Outcomes of(String kind) {
        return Objects.requireNonNull(fleet.outcomes().get(kind));
    }

    /** Returns the fraction of requests that were answered, of one kind. */
    double served(String kind) {
        EngineFleet.Outcomes of = of(kind);
        return (double) (of.inTarget + of.late) / of.asked;
    }

    /** Returns the fraction of the largest requests of a kind that were answered. */
    double servedLarge(String kind) {
        return (double) of(kind).servedLarge / of(kind).askedLarge;
    }

    /** Returns the worth served of the worth asked, of the accounts from one to another one. */
    double worthOfAccounts(int from, int to) {
        double earned = 0;
        double owed = 0;
        for (EngineFleet.Outcomes of : fleet.accountOutcomes().subList(from, to)) {
            earned += of.earned;
            owed += of.owed;
        }
        return earned / owed;
    }

    /** Returns the answered fraction of the account that got least. */
    double leastServedAccount() {
        return fleet.accountOutcomes().stream()
                .mapToDouble(of -> (double) (of.inTarget + of.late) / of.asked)
                .min()
                .orElseThrow();
    }

    /** Returns one line with the outcomes. */
    String describe() {
        List<String> parts = new ArrayList<>();
        parts.add(String.format(Locale.ROOT, "worth %.3f", fleet.worthShare()));
        for (String kind : KINDS) {
            EngineFleet.Outcomes of = of(kind);
            parts.add(String.format(
                    Locale.ROOT,
                    "%s %.2f (in target %.2f, late %.2f, refused %.2f, failed %.2f, large %.2f)",
                    kind,
                    worth(kind),
                    (double) of.inTarget / of.asked,
                    (double) of.late / of.asked,
                    (double) of.refused / of.asked,
                    (double) of.failed / of.asked,
                    of.earnedLarge / of.owedLarge));
        }
        parts.add(String.format(
                Locale.ROOT,
                "large accounts %.2f, small %.2f, least %.2f",
                worthOfAccounts(0, 3),
                worthOfAccounts(3, ACCOUNTS),
                leastServedAccount()));
        return String.join("; ", parts);
    }

    Map<String, EngineFleet.Outcomes> outcomes() {
        return fleet.outcomes();
    }
}
