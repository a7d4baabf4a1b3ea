package org.plantainwharf.call;

import java.util.Arrays;

/**
 * Bytes of a request or an answer with their media type. Thread-safe, provided that nobody modifies the array after
 * construction.
 */
public final class Content {
    private final String mediaType;
    private final byte[] bytes;

    private Content(String mediaType, byte[] bytes) {
        this.mediaType = mediaType;
        this.bytes = bytes;
    }

    /** Wraps bytes without a copy; the caller must not modify them afterwards. */
    public static Content of(String mediaType, byte[] bytes) {
        return new Content(mediaType, bytes);
    }

    /** Returns the media type, for example {@code application/json}. */
    public String mediaType() {
        return mediaType;
    }

    /** Returns the bytes without a copy; they must not be modified. */
    public byte[] bytes() {
        return bytes;
    }

    public int length() {
        return bytes.length;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Content content
                && mediaType.equals(content.mediaType)
                && Arrays.equals(bytes, content.bytes);
    }

    @Override
    public int hashCode() {
        return 31 * mediaType.hashCode() + Arrays.hashCode(bytes);
    }

    @Override
    public String toString() {
        return mediaType + " of " + bytes.length + " bytes";
    }
}
