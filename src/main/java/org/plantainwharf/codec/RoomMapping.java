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
        PeerProtocol.RoomReport.Builder wire =
                PeerProtocol.RoomReport.newBuilder().setSequence(report.sequence());
        sortedByService(report.demands()).forEach((service, demand) -> {
            PeerProtocol.RoomDemand.Builder room =
                    PeerProtocol.RoomDemand.newBuilder().setService(service);
            new TreeMap<>(demand.priorities()).forEach((priority, asked) -> {
                PeerProtocol.PriorityDemand.Builder ofPriority = PeerProtocol.PriorityDemand.newBuilder()
                        .setPriority(priority)
                        .setAskedPerSecond(asked.askedPerSecond())
                        .setCapacityPerSecond(asked.capacityPerSecond());
                sortedByAccount(asked.accounts())
                        .forEach((account, ofAccount) -> ofPriority.addAccounts(PeerProtocol.AccountDemand.newBuilder()
                                .setAccount(account)
                                .setAskedPerSecond(ofAccount)));
                room.addPriorities(ofPriority);
            });
            wire.addDemands(room);
        });
        return wire.build();
    }

    static PeerMessage.RoomReport decode(PeerProtocol.RoomReport wire) {
        Map<ServiceName, RoomDemand> demands = new HashMap<>();
        wire.getDemandsList().forEach(room -> {
            Map<Integer, RoomDemand.PriorityDemand> priorities = new HashMap<>();
            room.getPrioritiesList().forEach(asked -> {
                Map<AccountName, Double> accounts = new HashMap<>();
                asked.getAccountsList()
                        .forEach(ofAccount ->
                                accounts.put(AccountName.of(ofAccount.getAccount()), ofAccount.getAskedPerSecond()));
                priorities.put(
                        asked.getPriority(),
                        new RoomDemand.PriorityDemand(
                                asked.getAskedPerSecond(), asked.getCapacityPerSecond(), accounts));
            });
            demands.put(ServiceName.of(room.getService()), new RoomDemand(priorities));
        });
        return new PeerMessage.RoomReport(wire.getSequence(), demands);
    }

    static PeerProtocol.RoomGrant encode(PeerMessage.RoomGrant grant) {
        PeerProtocol.RoomGrant.Builder wire = PeerProtocol.RoomGrant.newBuilder()
                .setEchoedToken(grant.echoedToken())
                .setValidMillis(grant.validMillis());
        sortedByService(grant.shares()).forEach((service, share) -> {
            PeerProtocol.RoomShare.Builder room =
                    PeerProtocol.RoomShare.newBuilder().setService(service).setPressure(share.pressure());
            new TreeMap<>(share.priorities()).forEach((priority, part) -> {
                PeerProtocol.PriorityShare.Builder ofPriority = PeerProtocol.PriorityShare.newBuilder()
                        .setPriority(priority)
                        .setAdmittedFraction(part.admittedFraction())
                        .setRestFraction(part.restFraction());
                sortedByAccount(part.accounts())
                        .forEach((account, fraction) -> ofPriority.addAccounts(PeerProtocol.AccountShare.newBuilder()
                                .setAccount(account)
                                .setAdmittedFraction(fraction)));
                room.addPriorities(ofPriority);
            });
            wire.addShares(room);
        });
        return wire.build();
    }

    static PeerMessage.RoomGrant decode(PeerProtocol.RoomGrant wire) {
        Map<ServiceName, RoomShare> shares = new HashMap<>();
        wire.getSharesList().forEach(room -> {
            Map<Integer, RoomShare.PriorityShare> priorities = new HashMap<>();
            room.getPrioritiesList().forEach(part -> {
                Map<AccountName, Double> accounts = new HashMap<>();
                part.getAccountsList()
                        .forEach(ofAccount ->
                                accounts.put(AccountName.of(ofAccount.getAccount()), ofAccount.getAdmittedFraction()));
                priorities.put(
                        part.getPriority(),
                        new RoomShare.PriorityShare(part.getAdmittedFraction(), part.getRestFraction(), accounts));
            });
            shares.put(ServiceName.of(room.getService()), new RoomShare(room.getPressure(), priorities));
        });
        return new PeerMessage.RoomGrant(wire.getEchoedToken(), wire.getValidMillis(), shares);
    }

    private static <V> Map<String, V> sortedByService(Map<ServiceName, V> values) {
        Map<String, V> sorted = new TreeMap<>();
        values.forEach((service, value) -> sorted.put(service.value(), value));
        return sorted;
    }

    private static Map<String, Double> sortedByAccount(Map<AccountName, Double> values) {
        Map<String, Double> sorted = new TreeMap<>();
        values.forEach((account, value) -> sorted.put(account.value(), value));
        return sorted;
    }
}
