package org.plantainwharf.call;

import java.util.List;

import org.plantainwharf.identity.IdempotencyKey;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.RouteName;

/** What a call asks for. Immutable. */
public sealed interface CallKind {
    /**
     * A model call, which may be repeated.
     *
     * @param model the model
     * @param promptTokens estimated prompt length in tokens
     * @param maximumTokens maximum number of tokens to generate
     * @param prefixBlocks hashes of the prompt's blocks; each covers all preceding blocks
     * @param stream whether the caller asked for server-sent events
     */
    record Model(ModelName model, int promptTokens, int maximumTokens, List<Long> prefixBlocks, boolean stream)
            implements CallKind {
        /** Copies the block hashes. */
        public Model {
            prefixBlocks = List.copyOf(prefixBlocks);
        }
    }

    /** A plain service call that may be repeated. */
    record Service(RouteName route) implements CallKind {}

    /** A call that must not run twice, such as an order or a booking. */
    record Order(RouteName route, IdempotencyKey key) implements CallKind {}

    /** Long work: a model call whose answer is stored and fetched later. */
    record LongWork(Model model) implements CallKind {}
}
