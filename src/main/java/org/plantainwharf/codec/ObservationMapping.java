package org.plantainwharf.codec;

import org.plantainwharf.identity.ServerId;
import org.plantainwharf.keptpart.KeptPart;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.observation.ServerObservation;
import org.plantainwharf.wire.PeerProtocol;

/** Maps what daemons have seen of servers to and from protobuf. Stateless and thread-safe. */
final class ObservationMapping {
    private ObservationMapping() {}

    static PeerProtocol.ServerObservations encode(PeerMessage.ServerObservations message) {
        PeerProtocol.ServerObservations.Builder wire = PeerProtocol.ServerObservations.newBuilder();
        message.observations()
                .forEach(observation -> wire.addObservations(PeerProtocol.ServerObservation.newBuilder()
                        .setServer(observation.server().value())
                        .setStartEpochMillis(observation.startEpochMillis())
                        .setRunning(observation.running())
                        .setWaiting(observation.waiting())
                        .setWorkTimePercent(observation.workTimePercent())
                        .setSpeedPercent(observation.speedPercent())
                        .setWaitingPromptTokens(observation.waitingPromptTokens())
                        .setAgeMillis(observation.ageMillis())));
        return wire.build();
    }

    static PeerMessage.ServerObservations decode(PeerProtocol.ServerObservations wire) {
        return new PeerMessage.ServerObservations(wire.getObservationsList().stream()
                .map(observation -> new ServerObservation(
                        ServerId.of(observation.getServer()),
                        observation.getStartEpochMillis(),
                        observation.getRunning(),
                        observation.getWaiting(),
                        observation.getWorkTimePercent(),
                        observation.getSpeedPercent(),
                        observation.getWaitingPromptTokens(),
                        observation.getAgeMillis()))
                .toList());
    }

    static PeerProtocol.KeptParts encode(PeerMessage.KeptParts message) {
        PeerProtocol.KeptParts.Builder wire = PeerProtocol.KeptParts.newBuilder();
        message.parts()
                .forEach(part -> wire.addParts(PeerProtocol.KeptPart.newBuilder()
                        .setServer(part.server().value())
                        .setStartEpochMillis(part.startEpochMillis())
                        .setPart(part.part())
                        .setTokens(part.tokens())
                        .setAgeMillis(part.ageMillis())
                        .setDropped(part.dropped())));
        return wire.build();
    }

    static PeerMessage.KeptParts decode(PeerProtocol.KeptParts wire) {
        return new PeerMessage.KeptParts(wire.getPartsList().stream()
                .map(part -> new KeptPart(
                        ServerId.of(part.getServer()),
                        part.getStartEpochMillis(),
                        part.getPart(),
                        part.getTokens(),
                        part.getAgeMillis(),
                        part.getDropped()))
                .toList());
    }
}
