package org.plantainwharf.codec;

import java.util.stream.IntStream;

import org.plantainwharf.keptpart.KeptPart;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.observation.ServerObservation;
import org.plantainwharf.observation.ServerStart;
import org.plantainwharf.wire.PeerProtocol;

/** Maps what daemons have seen of servers to and from protobuf. Stateless and thread-safe. */
final class ObservationMapping {
    private ObservationMapping() {}

    static PeerProtocol.ServerObservations encode(PeerMessage.ServerObservations message) {
        PeerProtocol.ServerObservations.Builder wire = PeerProtocol.ServerObservations.newBuilder()
                .setSequence(message.sequence())
                .setEchoedToken(message.echoedToken());
        message.observations()
                .forEach(observation -> wire.addServers(observation.server().digest())
                        .addRunning(observation.running())
                        .addWaiting(observation.waiting())
                        .addWorkTimePercent(observation.workTimePercent())
                        .addSpeedPercent(observation.speedPercent())
                        .addAgeMillis(observation.ageMillis()));
        return wire.build();
    }

    /** Columns of unequal length are not read beyond the shortest. */
    static PeerMessage.ServerObservations decode(PeerProtocol.ServerObservations wire) {
        int count = IntStream.of(
                        wire.getServersCount(),
                        wire.getRunningCount(),
                        wire.getWaitingCount(),
                        wire.getWorkTimePercentCount(),
                        wire.getSpeedPercentCount(),
                        wire.getAgeMillisCount())
                .min()
                .orElse(0);
        return new PeerMessage.ServerObservations(
                wire.getSequence(),
                wire.getEchoedToken(),
                IntStream.range(0, count)
                        .mapToObj(index -> new ServerObservation(
                                new ServerStart(wire.getServers(index)),
                                wire.getRunning(index),
                                wire.getWaiting(index),
                                wire.getWorkTimePercent(index),
                                wire.getSpeedPercent(index),
                                wire.getAgeMillis(index)))
                        .toList());
    }

    static PeerProtocol.KeptParts encode(PeerMessage.KeptParts message) {
        PeerProtocol.KeptParts.Builder wire = PeerProtocol.KeptParts.newBuilder()
                .setSequence(message.sequence())
                .setEchoedToken(message.echoedToken());
        message.parts().forEach(part -> wire.addServers(part.server().digest())
                .addParts(part.part())
                .addTokens(part.tokens())
                .addAgeMillis(part.ageMillis()));
        return wire.build();
    }

    /** Columns of unequal length are not read beyond the shortest. */
    static PeerMessage.KeptParts decode(PeerProtocol.KeptParts wire) {
        int count = IntStream.of(
                        wire.getServersCount(), wire.getPartsCount(), wire.getTokensCount(), wire.getAgeMillisCount())
                .min()
                .orElse(0);
        return new PeerMessage.KeptParts(
                wire.getSequence(),
                wire.getEchoedToken(),
                IntStream.range(0, count)
                        .mapToObj(index -> new KeptPart(
                                new ServerStart(wire.getServers(index)),
                                wire.getParts(index),
                                wire.getTokens(index),
                                wire.getAgeMillis(index)))
                        .toList());
    }
}
