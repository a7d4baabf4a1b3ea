package org.plantainwharf.backend;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.identity.RequestId;

/** Encodes and parses the JSON messages of the model engine API. Stateless and thread-safe. */
final class ModelMessages {
    private static final ObjectMapper JSON = new ObjectMapper();

    private ModelMessages() {}

    /**
     * Returns the request body for an engine. Engines always stream, even for callers that request a single JSON body,
     * because only a stream shows progress and can be resumed.
     *
     * @param resumeText text received by earlier attempts; used only if {@code resumeTokens} is positive
     * @param resumeTokens number of tokens of that text
     * @throws JsonProcessingException if {@code callerBody} is not valid JSON
     */
    static byte[] engineRequest(byte[] callerBody, String resumeText, int resumeTokens) throws JsonProcessingException {
        JsonNode parsed = JSON.readTree(new String(callerBody, StandardCharsets.UTF_8));
        ObjectNode body = parsed instanceof ObjectNode object ? object : JSON.createObjectNode();
        body.put("stream", true);
        if (resumeTokens > 0) {
            body.putObject("resume").put("text", resumeText).put("tokens", resumeTokens);
        }
        return JSON.writeValueAsBytes(body);
    }

    /**
     * Parses one chunk of a stream.
     *
     * @throws JsonProcessingException if the data is not a JSON object
     */
    static ObjectNode parseChunk(String data) throws JsonProcessingException {
        if (JSON.readTree(data) instanceof ObjectNode object) {
            return object;
        }
        throw new com.fasterxml.jackson.core.JsonParseException(null, "stream chunk is not a JSON object");
    }

    /** Returns the generated text of a chunk, or an empty string if it has none. */
    static String content(ObjectNode chunk) {
        return chunk.path("choices").path(0).path("delta").path("content").asText("");
    }

    /** Returns the finish reason of a chunk, or an empty string if it has none. */
    static String finishReason(ObjectNode chunk) {
        return chunk.path("choices").path(0).path("finish_reason").asText("");
    }

    /**
     * Encodes a chunk as a server-sent event for the caller. All chunks of a call carry the same id, regardless of the
     * engine that sent them.
     */
    static byte[] callerEvent(ObjectNode chunk, RequestId request) throws JsonProcessingException {
        chunk.put("id", completionId(request));
        return ("data: " + JSON.writeValueAsString(chunk) + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the complete response body for a caller that did not request a stream. */
    static byte[] completion(RequestId request, CallKind.Model model, CallProgress progress)
            throws JsonProcessingException {
        ObjectNode body = JSON.createObjectNode();
        body.put("id", completionId(request));
        body.put("object", "chat.completion");
        body.put("model", model.model().value());
        ObjectNode choice = body.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("message").put("role", "assistant").put("content", progress.text());
        choice.put("finish_reason", progress.finishReason().isEmpty() ? "stop" : progress.finishReason());
        body.putObject("usage")
                .put("prompt_tokens", model.promptTokens())
                .put("completion_tokens", progress.tokenCount())
                .put("total_tokens", model.promptTokens() + progress.tokenCount());
        return JSON.writeValueAsBytes(body);
    }

    private static String completionId(RequestId request) {
        return "chatcmpl-" + request.value();
    }
}
