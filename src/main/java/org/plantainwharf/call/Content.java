package org.plantainwharf.call;

import java.util.Arrays;

/**
 * Bytes of a request or an answer with their media type. The array is neither changed nor shared after construction.
 * Thread-safe under that rule.
 */
public final class Content {
    private final String mediaType;
    private final byte[] bytes;

    private Content(String mediaType, byte[] bytes) {
        this.mediaType = mediaType;
        this.bytes = bytes;
    }

    /** Wraps bytes that the caller will not change. */
    public static Content of(String mediaType, byte[] bytes) {
        return new Content(mediaType, bytes);
    }

    /** Returns the media type, for example {@code application/json}. */
    public String mediaType() {
        return mediaType;
    }

    /** Returns the bytes, which must not be changed. */
    public byte[] bytes() {
        return bytes;
    }

    /** Returns the number of bytes. */
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
