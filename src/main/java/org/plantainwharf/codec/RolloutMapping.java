package org.plantainwharf.codec;

import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.rollout.Rollout;
import org.plantainwharf.rollout.RolloutPhase;
import org.plantainwharf.rollout.RouteEvidence;
import org.plantainwharf.wire.PeerProtocol;

/** Maps rollouts, their commands and the evidence on them to and from protobuf. Stateless and thread-safe. */
final class RolloutMapping {
    private RolloutMapping() {}

    static PeerProtocol.BeginRollout encode(Command.BeginRollout begin) {
        return PeerProtocol.BeginRollout.newBuilder()
                .setService(begin.service().value())
                .setTarget(begin.target().value())
                .setDurationMillis(begin.durationMillis())
                .setWallClockMillis(begin.wallClockMillis())
                .build();
    }

    static Command decode(PeerProtocol.BeginRollout wire) {
        return new Command.BeginRollout(
                ServiceName.of(wire.getService()),
                ServerVersion.of(wire.getTarget()),
                wire.getDurationMillis(),
                wire.getWallClockMillis());
    }

    static PeerProtocol.AdvanceRollout encode(Command.AdvanceRollout advance) {
        return PeerProtocol.AdvanceRollout.newBuilder()
                .setService(advance.service().value())
                .setNumber(advance.number())
                .setPhase(encode(advance.phase()))
                .build();
    }

    static Command decode(PeerProtocol.AdvanceRollout wire) {
        return new Command.AdvanceRollout(ServiceName.of(wire.getService()), wire.getNumber(), decode(wire.getPhase()));
    }

    static PeerProtocol.FinishRollout encode(Command.FinishRollout finish) {
        return PeerProtocol.FinishRollout.newBuilder()
                .setService(finish.service().value())
                .setNumber(finish.number())
                .setVerdict(encode(finish.verdict()))
                .build();
    }

    static Command decode(PeerProtocol.FinishRollout wire) {
        return new Command.FinishRollout(
                ServiceName.of(wire.getService()), wire.getNumber(), decode(wire.getVerdict()));
    }

    static PeerProtocol.Rollout encode(Rollout rollout) {
        return PeerProtocol.Rollout.newBuilder()
                .setService(rollout.service().value())
                .setNumber(rollout.number())
                .setTarget(rollout.target().value())
                .setDurationMillis(rollout.durationMillis())
                .setBegunMillis(rollout.begunMillis())
                .setPhase(encode(rollout.phase()))
                .build();
    }

    static Rollout decode(PeerProtocol.Rollout wire) {
        return new Rollout(
                ServiceName.of(wire.getService()),
                wire.getNumber(),
                ServerVersion.of(wire.getTarget()),
                wire.getDurationMillis(),
                wire.getBegunMillis(),
                decode(wire.getPhase()));
    }

    private static PeerProtocol.RolloutPhase encode(RolloutPhase phase) {
        PeerProtocol.RolloutPhase.Builder wire = PeerProtocol.RolloutPhase.newBuilder();
        switch (phase) {
            case RolloutPhase.Observing observing -> wire.setObserving(ValueMapping.NOTHING);
            case RolloutPhase.Growing growing -> wire.setGrowing(growing.sharePermille());
            case RolloutPhase.Retiring retiring -> wire.setRetiring(ValueMapping.NOTHING);
            case RolloutPhase.Completed completed -> wire.setCompleted(ValueMapping.NOTHING);
            case RolloutPhase.RolledBack rolledBack -> wire.setRolledBack(rolledBack.reason());
        }
        return wire.build();
    }

    private static RolloutPhase decode(PeerProtocol.RolloutPhase wire) {
        return switch (wire.getKindCase()) {
            case OBSERVING -> new RolloutPhase.Observing();
            case GROWING -> new RolloutPhase.Growing(wire.getGrowing());
            case RETIRING -> new RolloutPhase.Retiring();
            case COMPLETED -> new RolloutPhase.Completed();
            case ROLLED_BACK -> new RolloutPhase.RolledBack(wire.getRolledBack());
            case KIND_NOT_SET -> throw DecodingException.kindNotSet("rollout phase", wire.getUnknownFields());
        };
    }

    static PeerProtocol.RolloutEvidence encode(PeerMessage.RolloutEvidence evidence) {
        return PeerProtocol.RolloutEvidence.newBuilder()
                .setService(evidence.service().value())
                .setNumber(evidence.number())
                .setSequence(evidence.sequence())
                .setSentToTarget(evidence.sentToTarget())
                .setSentToOthers(evidence.sentToOthers())
                .setPhaseOrder(evidence.phaseOrder())
                .setRequests(evidence.requests())
                .setRunningAtOthers(evidence.runningAtOthers())
                .addAllRoutes(
                        evidence.routes().stream().map(RolloutMapping::encode).toList())
                .build();
    }

    private static PeerProtocol.RouteEvidence encode(RouteEvidence evidence) {
        return PeerProtocol.RouteEvidence.newBuilder()
                .setRoute(evidence.route().value())
                .setTarget(evidence.target())
                .setAnswers(evidence.answers())
                .setFailures(evidence.failures())
                .addAllTimes(evidence.times())
                .setServer(evidence.server())
                .setRefused(evidence.refused())
                .setLost(evidence.lost())
                .addAllDurations(evidence.durations())
                .build();
    }

    static PeerMessage.RolloutEvidence decode(PeerProtocol.RolloutEvidence wire) {
        return new PeerMessage.RolloutEvidence(
                ServiceName.of(wire.getService()),
                wire.getNumber(),
                wire.getSequence(),
                wire.getPhaseOrder(),
                wire.getRequests(),
                wire.getSentToTarget(),
                wire.getSentToOthers(),
                wire.getRunningAtOthers(),
                wire.getRoutesList().stream()
                        .map(route -> new RouteEvidence(
                                RouteName.of(route.getRoute()),
                                route.getTarget(),
                                route.getServer(),
                                route.getAnswers(),
                                route.getFailures(),
                                route.getRefused(),
                                route.getLost(),
                                route.getTimesList(),
                                route.getDurationsList()))
                        .toList());
    }
}
