package org.plantainwharf.forward;

import java.util.Arrays;
import java.util.List;
import java.util.function.DoubleSupplier;

/** Draws servers at random with weights by their speed. Stateless. */
final class ServerDraw {
    private ServerDraw() {}

    /**
     * Adds candidates to {@code drawn}: all if there are no more than {@code count}, or else as many independent draws, which
     * may give the same one again.
     */
    static void draw(
            List<ServerSelector.Candidate> candidates,
            int count,
            EngineProfile profile,
            DoubleSupplier random,
            long nowNanos,
            List<ServerSelector.Candidate> drawn) {
        if (candidates.size() <= count) {
            drawn.addAll(candidates);
            return;
        }
        double[] sums = new double[candidates.size()];
        double sum = 0;
        for (int index = 0; index < sums.length; index++) {
            sum += 1 / candidates.get(index).statistics().millisPerToken(profile, nowNanos);
            sums[index] = sum;
        }
        for (int draw = 0; draw < count; draw++) {
            int found = Arrays.binarySearch(sums, random.getAsDouble() * sum);
            drawn.add(candidates.get(Math.min(sums.length - 1, found < 0 ? -found - 1 : found)));
        }
    }
}
