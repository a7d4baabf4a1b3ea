package org.plantainwharf.limit;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Callers of one account in front of an {@link AllowanceFleet}. Requests arrive at random daemons with prompts of random
 * length, and callers send a refused request again to another daemon. Used by one thread.
 */
final class AccountCallers {
    private static final double MEAN_TOKENS = 4_000;
    private static final double MAXIMUM_TOKENS = 63_000;
    private static final long MINIMUM_PAUSE_MILLIS = 500;
    private static final int PAUSE_RANGE_MILLIS = 1_000;
    private static final long STEP_MILLIS = 50;

    private final AllowanceFleet fleet;
    private final int entries;
    private final Random random;
    private final PriorityQueue<Resend> resends = new PriorityQueue<>(Comparator.comparingLong(Resend::atMillis));
    private long newRequests;
    private long refusedRequests;

    private record Resend(long atMillis, long tokens) {}

    private AccountCallers(AllowanceFleet fleet, int entries, long seed) {
        this.fleet = fleet;
        this.entries = entries;
        this.random = new Random(seed);
    }

    static AccountCallers create(AllowanceFleet fleet, int entries, long seed) {
        return new AccountCallers(fleet, entries, seed);
    }

    /** Sends new requests at this rate, and the refused ones again, for a time. */
    void run(double tokensPerSecond, long millis) {
        long end = fleet.nowMillis() + millis;
        while (fleet.nowMillis() < end) {
            while (!resends.isEmpty() && resends.peek().atMillis() <= fleet.nowMillis()) {
                send(resends.remove().tokens());
            }
            double expected = tokensPerSecond / MEAN_TOKENS * STEP_MILLIS / 1_000;
            int count = (int) expected + (random.nextDouble() < expected - (int) expected ? 1 : 0);
            for (int request = 0; request < count; request++) {
                newRequests++;
                if (!send((long) Math.min(MAXIMUM_TOKENS, 1 - MEAN_TOKENS * Math.log(1 - random.nextDouble())))) {
                    refusedRequests++;
                }
            }
            fleet.advance(STEP_MILLIS);
        }
    }

    private boolean send(long tokens) {
        boolean forwarded = fleet.send(random.nextInt(entries), tokens);
        if (!forwarded) {
            resends.add(
                    new Resend(fleet.nowMillis() + MINIMUM_PAUSE_MILLIS + random.nextInt(PAUSE_RANGE_MILLIS), tokens));
        }
        return forwarded;
    }

    /** Returns the fraction of requests that were refused when they were first sent. */
    double refusedFraction() {
        return (double) refusedRequests / newRequests;
    }
}
