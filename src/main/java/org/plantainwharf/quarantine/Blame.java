package org.plantainwharf.quarantine;

import org.plantainwharf.identity.Fingerprint;

/** What is known of a content that is blamed for crashes of servers. Immutable. */
public sealed interface Blame {
    /** Returns what the blame stands on. */
    Evidence evidence();

    /**
     * The content was at two thirds or more of the crashes of its time, those happened one after the other, and every daemon in
     * touch could object. Its requests are wrong.
     */
    record Proven(Evidence evidence) implements Blame {}

    /**
     * The crashes may have another cause. Requests with the content wait until it may be tried again.
     *
     * @param remainingMillis time until then
     */
    record Suspected(Evidence evidence, long remainingMillis) implements Blame {}

    /**
     * Crashes attributed to a content. Immutable.
     *
     * @param crashes number of crashes that the content was at
     * @param knownCrashes number of all crashes in that time
     * @param moments number of different moments at which the content was at crashes
     * @param sinceLastCrashMillis age of the last one
     */
    record Evidence(Fingerprint content, int crashes, int knownCrashes, int moments, long sinceLastCrashMillis) {
        private static final int MINIMUM_MOMENTS = 2;

        /** Returns whether the content was at half of the crashes or more. */
        boolean explainsCrashes() {
            return 2 * crashes >= knownCrashes;
        }

        /**
         * Returns whether the content was at most of the crashes and servers crashed one after the other. A request that is
         * sent again at once crashes two servers at one moment, so that three crashes are at two moments at least.
         */
        boolean isConclusive() {
            return moments >= MINIMUM_MOMENTS && 3 * crashes >= 2 * knownCrashes;
        }
    }
}
