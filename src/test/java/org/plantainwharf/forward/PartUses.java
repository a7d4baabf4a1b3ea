package org.plantainwharf.forward;

import java.util.HashMap;
import java.util.Map;

/** Counts the tokens of shared prompt parts that engines found kept or processed again. Used by one thread. */
final class PartUses {
    /** Time after its last use for which a part counts as processed again. */
    private static final long RECENT_MICROS = 10_000_000;

    private final Map<String, Long> lastUseMicros = new HashMap<>();
    private long keptTokens;
    private long againTokens;

    /** Records a prompt whose first parts an engine keeps. The last part belongs to the request and does not count. */
    void record(PromptShape prompt, int keptParts, long nowMicros) {
        for (int index = 0; index < prompt.parts().size() - 1; index++) {
            PromptShape.Part part = prompt.parts().get(index);
            Long last = lastUseMicros.put(part.id(), nowMicros);
            if (index < keptParts) {
                keptTokens += part.tokens();
            } else if (last != null && nowMicros - last <= RECENT_MICROS) {
                againTokens += part.tokens();
            }
        }
    }

    long keptTokens() {
        return keptTokens;
    }

    long againTokens() {
        return againTokens;
    }
}
