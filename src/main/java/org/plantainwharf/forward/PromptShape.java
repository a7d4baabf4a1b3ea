package org.plantainwharf.forward;

import java.util.List;

/**
 * Size and parts of the prompt of a request to a model engine. Immutable.
 *
 * @param inputTokens tokens of the prompt
 * @param outputTokens maximum number of tokens in the answer
 * @param parts parts of the prompt in order; the last one belongs only to this request or its session
 */
public record PromptShape(String model, long inputTokens, long outputTokens, List<Part> parts) {
    /** Copies the parts. */
    public PromptShape {
        parts = List.copyOf(parts);
    }

    /** One part of a prompt. Parts with equal ids have equal content. */
    public record Part(String id, long tokens) {}
}
