package org.plantainwharf.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

/** Bodies of load answers. Stateless; thread-safe. */
final class LoadMessages {
    private static final ObjectMapper JSON = new ObjectMapper();

    private LoadMessages() {}

    /** Says whether a load answer reports that the request asked about still runs. */
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
