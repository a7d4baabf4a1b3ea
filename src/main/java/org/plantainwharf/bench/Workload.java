package org.plantainwharf.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.plantainwharf.call.CallKind;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.sheet.Rank;

/**
 * A type of call with its rank and sizes. Prompts of one account and rank begin with the same blocks. Immutable.
 *
 * @param rank rank of the calls
 * @param promptTokens mean length of the prompt in tokens, 0 for a plain service call
 * @param outputTokens mean length of the answer in tokens, 0 for a plain service call
 * @param sharedFraction fraction of the mean prompt length that all calls of one account and rank share
 */
record Workload(Rank rank, int promptTokens, int outputTokens, double sharedFraction) {
    static final ModelName MODEL = ModelName.of("model");
    static final RouteName ROUTE = RouteName.of("lookup");
    static final double PREFILL_MILLIS_PER_TOKEN = 0.2;
    static final double MILLIS_PER_OUTPUT_TOKEN = 12;
    static final double SERVICE_MILLIS = 50;
    static final int BLOCK_TOKENS = 64;

    static final Rank URGENT = new Rank(RankName.of("urgent"), 670, 10_000, 10, 0.2);
    static final Rank NORMAL = new Rank(RankName.of("normal"), 3_000, 20_000, 3, 0.2);
    static final Rank BATCH = new Rank(RankName.of("batch"), 15_000, 60_000, 1, 0.1);

    static final Workload QUESTION = new Workload(URGENT, 400, 60, 0.6);
    static final Workload CHAT = new Workload(NORMAL, 800, 150, 0.4);
    static final Workload REPORT = new Workload(BATCH, 2_000, 500, 0.2);
    static final Workload LOOKUP = new Workload(URGENT, 0, 0, 0);

    /** Returns a random length between 0.5 and 1.5 times the mean, at least 1. */
    static int randomLength(int mean, SplittableRandom random) {
        return (int) Math.max(1, mean * (0.5 + random.nextDouble()));
    }

    /** Creates a call of this type with random prompt length and, after the shared blocks, random content. */
    CallKind createCallKind(AccountName account, int outputLength, SplittableRandom random) {
        if (promptTokens == 0) {
            return new CallKind.Service(ROUTE);
        }
        int prompt = randomLength(promptTokens, random);
        List<Long> blocks = new ArrayList<>();
        int count = prompt / BLOCK_TOKENS;
        long hash = account.value().hashCode() * 31L + rank.name().value().hashCode();
        for (int block = 0; block < count; block++) {
            long content = block < sharedFraction * promptTokens / BLOCK_TOKENS ? block : random.nextLong();
            hash = hash * 1_000_003 + content;
            blocks.add(hash);
        }
        return new CallKind.Model(MODEL, prompt, outputLength * 3 / 2, blocks, true);
    }
}
