package org.plantainwharf.origin;

import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;

/**
 * Where a stream began: the service and the software version of the server that sent its first event. Immutable.
 */
public record StreamOrigin(ServiceName service, ServerVersion version) {}
