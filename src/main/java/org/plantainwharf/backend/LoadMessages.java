package org.plantainwharf.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

/** Parses the bodies of load responses. Stateless and thread-safe. */
final class LoadMessages {
    private static final ObjectMapper JSON = new ObjectMapper();

    private LoadMessages() {}

    /**
     * Returns whether a load response reports the queried request as running. A missing or malformed body counts as no.
     */
    static boolean reportsRequestRunning(@Nullable String body) {
        if (body == null) {
            return false;
        }
        try {
            return JSON.readTree(body).path("request_running").asBoolean(false);
        } catch (JsonProcessingException e) {
            return false;
        }
    }
}
