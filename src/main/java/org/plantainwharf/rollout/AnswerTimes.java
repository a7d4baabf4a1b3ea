package org.plantainwharf.rollout;

import java.util.ArrayList;
import java.util.List;

/**
 * Counts of times in buckets that grow by a fixed factor, so that times of milliseconds and of minutes are compared by
 * ratio. Stateless.
 */
public final class AnswerTimes {
    /** Buckets for each doubling; a bucket's bounds differ by 26%. */
    private static final int BUCKETS_PER_DOUBLING = 3;

    /** Times of more than 52 s share the last bucket. */
    public static final int BUCKETS = 48;

    private AnswerTimes() {}

    /** Returns the bucket of a time. */
    public static int bucket(double millis) {
        if (millis <= 1) {
            return 0;
        }
        int bucket = 1 + (int) Math.floor(Math.log(millis) / Math.log(2) * BUCKETS_PER_DOUBLING);
        return Math.min(BUCKETS - 1, bucket);
    }

    /** Returns the time in milliseconds below which the times of a bucket lie; the last one has no such bound. */
    public static double upperMillis(int bucket) {
        return Math.pow(2, (double) bucket / BUCKETS_PER_DOUBLING);
    }

    /** Returns the bucket of the median, or -1 without times. */
    public static int medianBucket(double[] counts) {
        double half = total(counts) / 2;
        double seen = 0;
        for (int bucket = 0; bucket < counts.length; bucket++) {
            seen += counts[bucket];
            if (half > 0 && seen >= half) {
                return bucket;
            }
        }
        return -1;
    }

    /** Returns the number of times in a bucket and all higher ones. */
    public static double atLeast(double[] counts, int bucket) {
        double sum = 0;
        for (int index = Math.max(0, bucket); index < counts.length; index++) {
            sum += counts[index];
        }
        return sum;
    }

    /** Returns the number of all times. */
    public static double total(double[] counts) {
        return atLeast(counts, 0);
    }

    /** Returns the counts without the empty buckets at the end, for messages. */
    static List<Long> trimmed(long[] counts) {
        int length = counts.length;
        while (length > 0 && counts[length - 1] == 0) {
            length--;
        }
        List<Long> trimmed = new ArrayList<>(length);
        for (int bucket = 0; bucket < length; bucket++) {
            trimmed.add(counts[bucket]);
        }
        return trimmed;
    }

    /** Adds the counts of a message; buckets beyond the last one count there. */
    static void add(List<Long> counts, double[] sum) {
        for (int bucket = 0; bucket < counts.size(); bucket++) {
            sum[Math.min(bucket, BUCKETS - 1)] += Math.max(0, counts.get(bucket));
        }
    }
}
