package org.plantainwharf.forward;

import java.util.List;

/**
 * What a request to a model engine says of its prompt. Immutable.
 *
 * @param inputTokens tokens of the prompt
 * @param outputTokens most tokens that the answer may have
 * @param parts the prompt's parts in order; the last belongs to the request or its session alone
 */
public record PromptShape(String model, long inputTokens, long outputTokens, List<Part> parts) {
    /** Copies the parts. */
    public PromptShape {
        parts = List.copyOf(parts);
    }

    /** One part of a prompt; equal ids are equal content. */
    public record Part(String id, long tokens) {}
}
