package org.plantainwharf.forward;

/**
 * What a server says of itself in the head of an answer, beside the answer. It binds this daemon whatever others say of
 * the server. Immutable.
 *
 * @param leaving whether the server wants no new requests any more
 */
public record ServerNotice(boolean leaving, RequestedPause pause) {
    /** Returns whether there is anything to act on or to count. */
    public boolean isPresent() {
        return leaving || !(pause instanceof RequestedPause.None);
    }
}
