package org.plantainwharf.codec;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.room.RoomDemand;
import org.plantainwharf.room.RoomShare;
import org.plantainwharf.wire.PeerProtocol;

/** Maps demand for room and shares of it to and from protobuf, in sorted order. Stateless and thread-safe. */
final class RoomMapping {
    private RoomMapping() {}

    static PeerProtocol.RoomReport encode(PeerMessage.RoomReport report) {
        PeerProtocol.RoomReport.Builder wire = PeerProtocol.RoomReport.newBuilder();
        sortedByService(report.demands()).forEach((service, demand) -> {
            PeerProtocol.RoomDemand.Builder room = PeerProtocol.RoomDemand.newBuilder()
                    .setService(service)
                    .setCapacityPerSecond(demand.capacityPerSecond());
            new TreeMap<>(demand.priorities())
                    .forEach((priority, asked) -> room.addPriorities(PeerProtocol.PriorityDemand.newBuilder()
                            .setPriority(priority)
                            .setAskedPerSecond(asked.askedPerSecond())
                            .setAdmittedPerSecond(asked.admittedPerSecond())
                            .setReturningPerSecond(asked.returningPerSecond())));
            Map<String, Double> accounts = new TreeMap<>();
            demand.askedPerSecond().forEach((account, asked) -> accounts.put(account.value(), asked));
            accounts.forEach((account, asked) -> room.addAccounts(
                    PeerProtocol.AccountDemand.newBuilder().setAccount(account).setAskedPerSecond(asked)));
            wire.addDemands(room);
        });
        return wire.build();
    }

    static PeerMessage.RoomReport decode(PeerProtocol.RoomReport wire) {
        Map<ServiceName, RoomDemand> demands = new HashMap<>();
        wire.getDemandsList().forEach(room -> {
            Map<Integer, RoomDemand.PriorityDemand> priorities = new HashMap<>();
            room.getPrioritiesList()
                    .forEach(asked -> priorities.put(
                            asked.getPriority(),
                            new RoomDemand.PriorityDemand(
                                    asked.getAskedPerSecond(),
                                    asked.getAdmittedPerSecond(),
                                    asked.getReturningPerSecond())));
            Map<AccountName, Double> accounts = new HashMap<>();
            room.getAccountsList()
                    .forEach(asked -> accounts.put(AccountName.of(asked.getAccount()), asked.getAskedPerSecond()));
            demands.put(
                    ServiceName.of(room.getService()),
                    new RoomDemand(room.getCapacityPerSecond(), priorities, accounts));
        });
        return new PeerMessage.RoomReport(demands);
    }

    static PeerProtocol.RoomGrant encode(PeerMessage.RoomGrant grant) {
        PeerProtocol.RoomGrant.Builder wire = PeerProtocol.RoomGrant.newBuilder()
                .setEchoedToken(grant.echoedToken())
                .setValidMillis(grant.validMillis());
        sortedByService(grant.shares()).forEach((service, share) -> {
            PeerProtocol.RoomShare.Builder room = PeerProtocol.RoomShare.newBuilder()
                    .setService(service)
                    .setPressure(share.pressure())
                    .setAccountPerSecond(share.accountPerSecond());
            new TreeMap<>(share.admittedFractions())
                    .forEach((priority, fraction) -> room.addPriorities(PeerProtocol.PriorityShare.newBuilder()
                            .setPriority(priority)
                            .setAdmittedFraction(fraction)));
            wire.addShares(room);
        });
        return wire.build();
    }

    static PeerMessage.RoomGrant decode(PeerProtocol.RoomGrant wire) {
        Map<ServiceName, RoomShare> shares = new HashMap<>();
        wire.getSharesList().forEach(room -> {
            Map<Integer, Double> fractions = new HashMap<>();
            room.getPrioritiesList().forEach(share -> fractions.put(share.getPriority(), share.getAdmittedFraction()));
            shares.put(
                    ServiceName.of(room.getService()),
                    new RoomShare(room.getPressure(), fractions, room.getAccountPerSecond()));
        });
        return new PeerMessage.RoomGrant(wire.getEchoedToken(), wire.getValidMillis(), shares);
    }

    private static <V> Map<String, V> sortedByService(Map<ServiceName, V> values) {
        Map<String, V> sorted = new TreeMap<>();
        values.forEach((service, value) -> sorted.put(service.value(), value));
        return sorted;
    }
}
