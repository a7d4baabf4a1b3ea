package org.plantainwharf.codec;

import java.util.OptionalLong;
import java.util.stream.Collectors;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ServiceDemand;
import org.plantainwharf.registry.ServerPhase;
import org.plantainwharf.registry.ServerReport;
import org.plantainwharf.wire.PeerProtocol;

/**
 * Maps the reports about peers, servers and demand that daemons send one another to and from protobuf. Stateless and
 * thread-safe.
 */
final class ReportMapping {
    private ReportMapping() {}

    static PeerProtocol.KnownPeers encode(PeerMessage.KnownPeers known) {
        PeerProtocol.KnownPeers.Builder wire = PeerProtocol.KnownPeers.newBuilder();
        known.addresses()
                .forEach((host, address) -> wire.addPeers(PeerProtocol.PeerAddress.newBuilder()
                        .setHost(host.value())
                        .setAddress(address)));
        return wire.build();
    }

    static PeerMessage.KnownPeers decode(PeerProtocol.KnownPeers wire) {
        return new PeerMessage.KnownPeers(wire.getPeersList().stream()
                .collect(Collectors.toMap(
                        peer -> HostId.of(peer.getHost()),
                        PeerProtocol.PeerAddress::getAddress,
                        (first, second) -> first)));
    }

    static PeerProtocol.ReachReport encode(PeerMessage.ReachReport report) {
        return PeerProtocol.ReachReport.newBuilder()
                .setCallerAddress(report.callerAddress())
                .addAllUnreached(
                        report.unreached().stream().map(ServiceName::value).toList())
                .build();
    }

    static PeerMessage.ReachReport decode(PeerProtocol.ReachReport wire) {
        return new PeerMessage.ReachReport(
                wire.getCallerAddress(),
                wire.getUnreachedList().stream().map(ServiceName::of).collect(Collectors.toSet()));
    }

    static PeerProtocol.ServerNews encode(PeerMessage.ServerReports news) {
        PeerProtocol.ServerNews.Builder wire = PeerProtocol.ServerNews.newBuilder();
        for (ServerReport report : news.reports()) {
            PeerProtocol.ServerReport.Builder server = PeerProtocol.ServerReport.newBuilder()
                    .setServer(report.server().value())
                    .setBorn(report.startEpochMillis())
                    .setSequence(report.sequence())
                    .setService(report.service().value())
                    .setAddress(report.address())
                    .setZone(report.zone().value())
                    .setSlots(report.slots())
                    .setPhase(report.phase().ordinal())
                    .setWarmupMillis(report.remainingWarmupMillis())
                    .setReclaimable(report.reclaimable());
            report.millisUntilReclaim().ifPresent(server::setLeavesMillis);
            if (report.version().stated()) {
                server.setVersion(report.version().value());
            }
            wire.addReports(server);
        }
        return wire.build();
    }

    static PeerMessage.ServerReports decode(PeerProtocol.ServerNews wire) {
        return new PeerMessage.ServerReports(
                wire.getReportsList().stream().map(ReportMapping::decode).toList());
    }

    private static ServerReport decode(PeerProtocol.ServerReport wire) {
        ServerPhase[] phases = ServerPhase.values();
        if (wire.getPhase() < 0 || wire.getPhase() >= phases.length) {
            throw new UnknownKindException("unknown server phase " + wire.getPhase());
        }
        return new ServerReport(
                ServerId.of(wire.getServer()),
                wire.getBorn(),
                wire.getSequence(),
                ServiceName.of(wire.getService()),
                wire.getAddress(),
                AvailabilityZone.of(wire.getZone()),
                wire.getSlots(),
                phases[wire.getPhase()],
                wire.getWarmupMillis(),
                wire.getReclaimable(),
                wire.hasLeavesMillis() ? OptionalLong.of(wire.getLeavesMillis()) : OptionalLong.empty(),
                ServerVersion.of(wire.getVersion()));
    }

    static PeerProtocol.DemandReport encode(PeerMessage.DemandReport report) {
        PeerProtocol.DemandReport.Builder wire = PeerProtocol.DemandReport.newBuilder();
        report.demands()
                .forEach((service, demand) -> wire.addDemands(PeerProtocol.ServiceDemand.newBuilder()
                        .setService(service.value())
                        .setRequestsInFlight(demand.inFlight())
                        .setWaiting(demand.waiting())
                        .setPromptTokensPerSecond(demand.promptTokensPerSecond())
                        .setOutputTokensPerSecond(demand.outputTokensPerSecond())));
        return wire.build();
    }

    static PeerMessage.DemandReport decode(PeerProtocol.DemandReport wire) {
        return new PeerMessage.DemandReport(wire.getDemandsList().stream()
                .collect(Collectors.toMap(
                        demand -> ServiceName.of(demand.getService()),
                        demand -> new ServiceDemand(
                                demand.getRequestsInFlight(),
                                demand.getWaiting(),
                                demand.getPromptTokensPerSecond(),
                                demand.getOutputTokensPerSecond()),
                        (first, second) -> first)));
    }
}
