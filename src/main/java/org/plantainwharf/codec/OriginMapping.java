package org.plantainwharf.codec;

import java.util.Optional;
import java.util.stream.Collectors;

import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.origin.StreamOrigin;
import org.plantainwharf.wire.PeerProtocol;

/** Maps the messages on software versions and on where streams began to and from protobuf. Stateless and thread-safe. */
final class OriginMapping {
    private OriginMapping() {}

    static PeerProtocol.ServerVersion encode(ServiceName service, ServerVersion version) {
        return PeerProtocol.ServerVersion.newBuilder()
                .setService(service.value())
                .setVersion(version.value())
                .build();
    }

    private static PeerProtocol.StreamOrigin encode(String attempt, StreamOrigin origin) {
        return PeerProtocol.StreamOrigin.newBuilder()
                .setAttempt(attempt)
                .setService(origin.service().value())
                .setVersion(origin.version().value())
                .setDoubtful(origin.doubtful())
                .build();
    }

    private static StreamOrigin decode(PeerProtocol.StreamOrigin wire) {
        return new StreamOrigin(
                ServiceName.of(wire.getService()), ServerVersion.of(wire.getVersion()), wire.getDoubtful());
    }

    static PeerProtocol.StreamOrigins encode(PeerMessage.StreamOrigins message) {
        PeerProtocol.StreamOrigins.Builder wire = PeerProtocol.StreamOrigins.newBuilder();
        message.origins().forEach((attempt, origin) -> wire.addOrigins(encode(attempt, origin)));
        return wire.build();
    }

    static PeerMessage.StreamOrigins decode(PeerProtocol.StreamOrigins wire) {
        return new PeerMessage.StreamOrigins(wire.getOriginsList().stream()
                .collect(Collectors.toMap(
                        PeerProtocol.StreamOrigin::getAttempt, OriginMapping::decode, (first, second) -> first)));
    }

    static PeerProtocol.OriginQuestion encode(PeerMessage.OriginQuestion question) {
        return PeerProtocol.OriginQuestion.newBuilder()
                .setAttempt(question.attempt())
                .setService(question.service().value())
                .build();
    }

    static PeerMessage.OriginQuestion decode(PeerProtocol.OriginQuestion wire) {
        return new PeerMessage.OriginQuestion(wire.getAttempt(), ServiceName.of(wire.getService()));
    }

    static PeerProtocol.OriginReply encode(PeerMessage.OriginReply reply) {
        PeerProtocol.OriginReply.Builder wire = PeerProtocol.OriginReply.newBuilder()
                .setAttempt(reply.attempt())
                .setService(reply.service().value())
                .setLeading(reply.leading())
                .addAllListedVersions(reply.listedVersions().stream()
                        .map(ServerVersion::value)
                        .sorted()
                        .toList());
        reply.origin().ifPresent(origin -> wire.setOrigin(encode(reply.attempt(), origin)));
        return wire.build();
    }

    static PeerMessage.OriginReply decode(PeerProtocol.OriginReply wire) {
        return new PeerMessage.OriginReply(
                wire.getAttempt(),
                ServiceName.of(wire.getService()),
                wire.hasOrigin() ? Optional.of(decode(wire.getOrigin())) : Optional.empty(),
                wire.getLeading(),
                wire.getListedVersionsList().stream().map(ServerVersion::of).collect(Collectors.toSet()));
    }
}
