package org.plantainwharf.codec;

import org.plantainwharf.message.PeerMessage;

/** A frame of a link after the hello. Immutable. */
public sealed interface LinkFrame {
    /** A whole message. */
    record Whole(PeerMessage message) implements LinkFrame {}

    /** A message that lacks the contents that it refers to. */
    record Referring(Envelope envelope) implements LinkFrame {}

    /** Asks the sender of a reference for compressed bytes of its content. */
    record Requested(String digest, int offset, int length) implements LinkFrame {}

    /** Compressed bytes of a content. The array must not be modified. */
    record Part(String digest, int offset, byte[] bytes) implements LinkFrame {}

    /** Says that the sender of a reference does not have the content any more. */
    record Unavailable(String digest) implements LinkFrame {}

    /**
     * A message that this build does not know, or with a part that it does not know.
     *
     * @param description what is unknown, for logs
     */
    record Unknown(String description) implements LinkFrame {}
}
