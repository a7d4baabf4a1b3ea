package org.plantainwharf.origin;

import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;

/**
 * Where a stream began: the service and the software version of the server that sent its first event. Immutable.
 *
 * @param doubtful whether it turned out later that another version may have sent events of the stream, so that it may go
 *     on nowhere
 */
public record StreamOrigin(ServiceName service, ServerVersion version, boolean doubtful) {
    /** Creates an origin that is not doubtful. */
    public StreamOrigin(ServiceName service, ServerVersion version) {
        this(service, version, false);
    }

    /** Returns the same origin as a doubtful one. */
    StreamOrigin asDoubtful() {
        return new StreamOrigin(service, version, true);
    }
}
