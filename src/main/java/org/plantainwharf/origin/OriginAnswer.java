package org.plantainwharf.origin;

/** What is known of the origin of a stream. Immutable. */
public sealed interface OriginAnswer {
    /**
     * The origin is known.
     *
     * @param basis what the knowledge is based on, for logs
     */
    record Known(StreamOrigin origin, Basis basis) implements OriginAnswer {}

    /** The origin is not known, and the stream may go on at no server. */
    record Unknown() implements OriginAnswer {}

    /** What the knowledge of an origin is based on. */
    enum Basis {
        /** This daemon passed the first event on, or has looked the origin up before. */
        OWN_RECORD,
        /** A control daemon has the record of the daemon that passed the first event on. */
        RECORD,
        /** According to the leader of the control group, only one version can have begun streams of the service. */
        SINGLE_VERSION
    }
}
