package org.plantainwharf.codec;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.message.AllowanceShare;
import org.plantainwharf.message.AllowanceUse;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ServerLimitShare;
import org.plantainwharf.message.ServerLimitUse;
import org.plantainwharf.wire.PeerProtocol;

/** Maps reports and grants of the limits of accounts and servers to and from protobuf. Stateless and thread-safe. */
final class AllowanceMapping {
    private AllowanceMapping() {}

    static PeerProtocol.AllowanceReport encode(PeerMessage.AllowanceReport report) {
        PeerProtocol.AllowanceReport.Builder wire =
                PeerProtocol.AllowanceReport.newBuilder().setUngranted(report.neverGranted());
        sorted(report.uses())
                .forEach((account, use) -> wire.addUses(PeerProtocol.AllowanceUse.newBuilder()
                        .setAccount(account)
                        .setUsed(use.used())
                        .setDebt(use.debt())
                        .setAskedPerSecond(use.demandPerSecond())));
        byServer(report.serverLimits()).forEach((server, use) -> wire.addServerLimits(encode(server, use)));
        return wire.build();
    }

    static PeerMessage.AllowanceReport decode(PeerProtocol.AllowanceReport wire) {
        Map<AccountName, AllowanceUse> uses = new HashMap<>();
        wire.getUsesList()
                .forEach(use -> uses.put(
                        AccountName.of(use.getAccount()),
                        new AllowanceUse(use.getUsed(), use.getDebt(), use.getAskedPerSecond())));
        Map<ServerId, ServerLimitUse> limits = new HashMap<>();
        wire.getServerLimitsList()
                .forEach(use -> limits.put(
                        ServerId.of(use.getServer()),
                        new ServerLimitUse(
                                use.hasRequestsPerSecond()
                                        ? OptionalDouble.of(use.getRequestsPerSecond())
                                        : OptionalDouble.empty(),
                                use.getAgeMillis(),
                                use.getDemandPerSecond())));
        return new PeerMessage.AllowanceReport(wire.getUngranted(), uses, limits);
    }

    private static PeerProtocol.ServerLimitUse encode(String server, ServerLimitUse use) {
        PeerProtocol.ServerLimitUse.Builder wire = PeerProtocol.ServerLimitUse.newBuilder()
                .setServer(server)
                .setAgeMillis(use.ageMillis())
                .setDemandPerSecond(use.demandPerSecond());
        use.requestsPerSecond().ifPresent(wire::setRequestsPerSecond);
        return wire.build();
    }

    private static PeerProtocol.ServerLimitShare encode(String server, ServerLimitShare share) {
        PeerProtocol.ServerLimitShare.Builder wire = PeerProtocol.ServerLimitShare.newBuilder()
                .setServer(server)
                .setAgeMillis(share.ageMillis())
                .setFraction(share.fraction());
        share.requestsPerSecond().ifPresent(wire::setRequestsPerSecond);
        return wire.build();
    }

    static PeerProtocol.AllowanceGrant encode(PeerMessage.AllowanceGrant grant) {
        PeerProtocol.AllowanceGrant.Builder wire = PeerProtocol.AllowanceGrant.newBuilder()
                .setEchoedToken(grant.echoedToken())
                .setValidMillis(grant.validMillis())
                .setEvenPart(grant.defaultFraction());
        sorted(grant.shares())
                .forEach((account, share) -> wire.addShares(PeerProtocol.AllowanceShare.newBuilder()
                        .setAccount(account)
                        .setDebt(share.debt())
                        .setCounted(share.includedUse())
                        .setPart(share.fraction())));
        byServer(grant.serverShares()).forEach((server, share) -> wire.addServerShares(encode(server, share)));
        return wire.build();
    }

    static PeerMessage.AllowanceGrant decode(PeerProtocol.AllowanceGrant wire) {
        Map<AccountName, AllowanceShare> shares = new HashMap<>();
        wire.getSharesList()
                .forEach(share -> shares.put(
                        AccountName.of(share.getAccount()),
                        new AllowanceShare(share.getDebt(), share.getCounted(), share.getPart())));
        Map<ServerId, ServerLimitShare> serverShares = new HashMap<>();
        wire.getServerSharesList()
                .forEach(share -> serverShares.put(
                        ServerId.of(share.getServer()),
                        new ServerLimitShare(
                                share.hasRequestsPerSecond()
                                        ? OptionalDouble.of(share.getRequestsPerSecond())
                                        : OptionalDouble.empty(),
                                share.getAgeMillis(),
                                share.getFraction())));
        return new PeerMessage.AllowanceGrant(
                wire.getEchoedToken(), wire.getValidMillis(), wire.getEvenPart(), shares, serverShares);
    }

    private static <T> Map<String, T> byServer(Map<ServerId, T> values) {
        Map<String, T> byId = new TreeMap<>();
        values.forEach((server, value) -> byId.put(server.value(), value));
        return byId;
    }

    private static <T> Map<String, T> sorted(Map<AccountName, T> values) {
        Map<String, T> byName = new TreeMap<>();
        values.forEach((account, value) -> byName.put(account.value(), value));
        return byName;
    }
}
