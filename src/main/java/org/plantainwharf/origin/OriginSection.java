package org.plantainwharf.origin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Origins of streams, by the attempt that brought the first event. Owned by the control thread; written by the origin
 * controller.
 */
public final class OriginSection {
    private final Map<String, StreamOrigin> origins = new LinkedHashMap<>();

    private OriginSection() {}

    /** Returns a section without origins. */
    public static OriginSection create() {
        return new OriginSection();
    }

    /** Returns the origin of the stream that this attempt began; empty if this daemon does not know it. */
    public Optional<StreamOrigin> origin(String attempt) {
        return Optional.ofNullable(origins.get(attempt));
    }
}
