package org.plantainwharf.admission;

import org.plantainwharf.call.CallKind;

/** The amount of work in a call, used to share service fairly between accounts. Stateless. */
final class CallCost {
    /** Prompt tokens are processed in parallel; about this many take as long as one generated token. */
    private static final double PROMPT_TOKENS_PER_GENERATED_TOKEN = 16;

    private CallCost() {}

    /** Returns the work in units of one generated token; a plain service call counts as 1. Always positive. */
    static double of(CallKind kind) {
        return switch (kind) {
            case CallKind.Model model -> ofModel(model);
            case CallKind.LongWork work -> ofModel(work.model());
            case CallKind.Service service -> 1;
            case CallKind.Order order -> 1;
        };
    }

    private static double ofModel(CallKind.Model model) {
        return 1 + model.maximumTokens() + model.promptTokens() / PROMPT_TOKENS_PER_GENERATED_TOKEN;
    }
}
