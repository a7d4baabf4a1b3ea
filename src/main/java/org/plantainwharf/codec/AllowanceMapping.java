package org.plantainwharf.codec;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.message.AllowanceShare;
import org.plantainwharf.message.AllowanceUse;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.wire.PeerProtocol;

/** Maps reports and grants of account limits to and from protobuf. Stateless and thread-safe. */
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
        return wire.build();
    }

    static PeerMessage.AllowanceReport decode(PeerProtocol.AllowanceReport wire) {
        Map<AccountName, AllowanceUse> uses = new HashMap<>();
        wire.getUsesList()
                .forEach(use -> uses.put(
                        AccountName.of(use.getAccount()),
                        new AllowanceUse(use.getUsed(), use.getDebt(), use.getAskedPerSecond())));
        return new PeerMessage.AllowanceReport(wire.getUngranted(), uses);
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
        return wire.build();
    }

    static PeerMessage.AllowanceGrant decode(PeerProtocol.AllowanceGrant wire) {
        Map<AccountName, AllowanceShare> shares = new HashMap<>();
        wire.getSharesList()
                .forEach(share -> shares.put(
                        AccountName.of(share.getAccount()),
                        new AllowanceShare(share.getDebt(), share.getCounted(), share.getPart())));
        return new PeerMessage.AllowanceGrant(wire.getEchoedToken(), wire.getValidMillis(), wire.getEvenPart(), shares);
    }

    private static <T> Map<String, T> sorted(Map<AccountName, T> values) {
        Map<String, T> byName = new TreeMap<>();
        values.forEach((account, value) -> byName.put(account.value(), value));
        return byName;
    }
}
