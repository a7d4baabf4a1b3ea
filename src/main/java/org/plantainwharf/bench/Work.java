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
 * A kind of work with its sizes. Prompts begin with blocks that all calls of an account share. Immutable.
 *
 * @param promptTokens mean length of the prompt, 0 for a plain service call
 * @param outputTokens mean length of the answer
 * @param sharedPart part of the prompt that all calls of the account share
 */
record Work(Rank rank, int promptTokens, int outputTokens, double sharedPart) {
    static final ModelName MODEL = ModelName.of("model");
    static final RouteName ROUTE = RouteName.of("lookup");
    static final double PREFILL_MILLIS = 0.2;
    static final double TOKEN_MILLIS = 12;
    static final double SERVICE_MILLIS = 50;
    static final int BLOCK_TOKENS = 64;

    static final Rank URGENT = new Rank(RankName.of("urgent"), 670, 10_000, 10, 0.2);
    static final Rank NORMAL = new Rank(RankName.of("normal"), 3_000, 20_000, 3, 0.2);
    static final Rank BATCH = new Rank(RankName.of("batch"), 15_000, 60_000, 1, 0.1);

    static final Work QUESTION = new Work(URGENT, 400, 60, 0.6);
    static final Work CHAT = new Work(NORMAL, 800, 150, 0.4);
    static final Work REPORT = new Work(BATCH, 2_000, 500, 0.2);
    static final Work LOOKUP = new Work(URGENT, 0, 0, 0);

    /** Returns a length between half and one and a half times the mean. */
    static int length(int mean, SplittableRandom random) {
        return (int) Math.max(1, mean * (0.5 + random.nextDouble()));
    }

    /** Returns a call of this work. */
    CallKind kind(AccountName account, int outputLength, SplittableRandom random) {
        if (promptTokens == 0) {
            return new CallKind.Service(ROUTE);
        }
        int prompt = length(promptTokens, random);
        List<Long> blocks = new ArrayList<>();
        int count = prompt / BLOCK_TOKENS;
        long hash = account.value().hashCode() * 31L + rank.name().value().hashCode();
        for (int block = 0; block < count; block++) {
            long content = block < sharedPart * promptTokens / BLOCK_TOKENS ? block : random.nextLong();
            hash = hash * 1_000_003 + content;
            blocks.add(hash);
        }
        return new CallKind.Model(MODEL, prompt, outputLength * 3 / 2, blocks, true);
    }
}
