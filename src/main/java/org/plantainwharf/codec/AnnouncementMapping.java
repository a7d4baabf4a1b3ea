package org.plantainwharf.codec;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.message.ServerLease;
import org.plantainwharf.server.Announcement;
import org.plantainwharf.server.LoadReport;
import org.plantainwharf.server.ServerKind;
import org.plantainwharf.wire.PeerProtocol;

/** Maps announcements of backend servers to and from protobuf. Stateless and thread-safe. */
final class AnnouncementMapping {
    private AnnouncementMapping() {}

    static PeerProtocol.ServerLease encode(ServerLease lease) {
        return PeerProtocol.ServerLease.newBuilder()
                .setAnnouncement(encode(lease.announcement()))
                .setRemainingMillis(lease.remainingMillis())
                .build();
    }

    static ServerLease decode(PeerProtocol.ServerLease wire) {
        return new ServerLease(decode(wire.getAnnouncement()), wire.getRemainingMillis());
    }

    private static PeerProtocol.Announcement encode(Announcement announcement) {
        PeerProtocol.Announcement.Builder wire = PeerProtocol.Announcement.newBuilder()
                .setServer(announcement.server().value())
                .setIncarnation(announcement.incarnation())
                .setSequence(announcement.sequence())
                .setAddress(announcement.address())
                .setZone(announcement.zone().value())
                .setHostClass(announcement.hostClass().value())
                .setSlots(announcement.slots())
                .setLoad(PeerProtocol.LoadReport.newBuilder()
                        .setRunning(announcement.load().running())
                        .setQueued(announcement.load().queued())
                        .setAgeMillis(announcement.load().ageMillis()))
                .setLeaving(announcement.leaving());
        switch (announcement.kind()) {
            case ServerKind.ModelEngine engine ->
                wire.setModelEngine(PeerProtocol.ModelEngine.newBuilder()
                        .addAllModels(ValueMapping.encodeNames(engine.models(), ModelName::value))
                        .setChecksFencing(engine.checksFencing())
                        .setMovesCache(engine.movesCache()));
            case ServerKind.PlainService service ->
                wire.setPlainService(PeerProtocol.PlainService.newBuilder()
                        .addAllRoutes(ValueMapping.encodeNames(service.routes(), RouteName::value)));
        }
        return wire.build();
    }

    private static Announcement decode(PeerProtocol.Announcement wire) {
        ServerKind kind =
                switch (wire.getKindCase()) {
                    case MODEL_ENGINE ->
                        new ServerKind.ModelEngine(
                                ValueMapping.decodeNames(wire.getModelEngine().getModelsList(), ModelName::of),
                                wire.getModelEngine().getChecksFencing(),
                                wire.getModelEngine().getMovesCache());
                    case PLAIN_SERVICE ->
                        new ServerKind.PlainService(
                                ValueMapping.decodeNames(wire.getPlainService().getRoutesList(), RouteName::of));
                    case KIND_NOT_SET ->
                        throw DecodingException.kindNotSet("announcement of a server", wire.getUnknownFields());
                };
        return new Announcement(
                ServerId.of(wire.getServer()),
                wire.getIncarnation(),
                wire.getSequence(),
                wire.getAddress(),
                AvailabilityZone.of(wire.getZone()),
                HostClass.of(wire.getHostClass()),
                kind,
                wire.getSlots(),
                new LoadReport(
                        wire.getLoad().getRunning(),
                        wire.getLoad().getQueued(),
                        wire.getLoad().getAgeMillis()),
                wire.getLeaving());
    }
}
