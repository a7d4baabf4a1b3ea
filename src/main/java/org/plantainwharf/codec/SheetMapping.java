package org.plantainwharf.codec;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.sheet.Budget;
import org.plantainwharf.sheet.ClientAccount;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Route;
import org.plantainwharf.sheet.Sheet;
import org.plantainwharf.wire.PeerProtocol;

/** Maps sheets to and from protobuf. Stateless and thread-safe. */
final class SheetMapping {
    private SheetMapping() {}

    static PeerProtocol.Sheet encode(Sheet sheet) {
        return PeerProtocol.Sheet.newBuilder()
                .setVersion(sheet.version())
                .setDigest(sheet.digest())
                .addAllAccounts(
                        sorted(sheet.accounts().values(), SheetMapping::encode, PeerProtocol.ClientAccount::getName))
                .addAllRanks(sorted(sheet.ranks().values(), SheetMapping::encode, PeerProtocol.Rank::getName))
                .addAllRoutes(sorted(sheet.routes().values(), SheetMapping::encode, PeerProtocol.Route::getName))
                .addAllBudgets(
                        sheet.budgets().stream().map(SheetMapping::encode).toList())
                .build();
    }

    static Sheet decode(PeerProtocol.Sheet wire) {
        return new Sheet(
                wire.getVersion(),
                wire.getDigest(),
                byName(wire.getAccountsList(), SheetMapping::decode, ClientAccount::name),
                byName(wire.getRanksList(), SheetMapping::decode, Rank::name),
                byName(wire.getRoutesList(), SheetMapping::decode, Route::name),
                wire.getBudgetsList().stream().map(SheetMapping::decode).toList());
    }

    private static <T, W> List<W> sorted(Collection<T> values, Function<T, W> encode, Function<W, String> name) {
        return values.stream().map(encode).sorted(Comparator.comparing(name)).toList();
    }

    private static <W, K, T> Map<K, T> byName(List<W> wire, Function<W, T> decode, Function<T, K> name) {
        return wire.stream().map(decode).collect(Collectors.toMap(name, value -> value));
    }

    private static PeerProtocol.ClientAccount encode(ClientAccount account) {
        return PeerProtocol.ClientAccount.newBuilder()
                .setName(account.name().value())
                .setKeyDigest(account.keyDigest())
                .setWeight(account.weight())
                .setRequestsPerSecond(account.requestsPerSecond())
                .addAllRanks(ValueMapping.encodeNames(account.ranks(), RankName::value))
                .build();
    }

    private static ClientAccount decode(PeerProtocol.ClientAccount wire) {
        return new ClientAccount(
                AccountName.of(wire.getName()),
                wire.getKeyDigest(),
                wire.getWeight(),
                wire.getRequestsPerSecond(),
                ValueMapping.decodeNames(wire.getRanksList(), RankName::of));
    }

    private static PeerProtocol.Rank encode(Rank rank) {
        return PeerProtocol.Rank.newBuilder()
                .setName(rank.name().value())
                .setLatencyTargetMillis(rank.latencyTargetMillis())
                .setDeadlineMillis(rank.deadlineMillis())
                .setWorth(rank.worth())
                .setFloorShare(rank.floorShare())
                .build();
    }

    private static Rank decode(PeerProtocol.Rank wire) {
        return new Rank(
                RankName.of(wire.getName()),
                wire.getLatencyTargetMillis(),
                wire.getDeadlineMillis(),
                wire.getWorth(),
                wire.getFloorShare());
    }

    private static PeerProtocol.Route encode(Route route) {
        return PeerProtocol.Route.newBuilder()
                .setName(route.name().value())
                .setRank(route.rank().value())
                .setRepeatable(route.repeatable())
                .build();
    }

    private static Route decode(PeerProtocol.Route wire) {
        return new Route(RouteName.of(wire.getName()), RankName.of(wire.getRank()), wire.getRepeatable());
    }

    private static PeerProtocol.Budget encode(Budget budget) {
        return PeerProtocol.Budget.newBuilder()
                .setZone(budget.zone().value())
                .setHostClass(budget.hostClass().value())
                .setPricePerHour(budget.pricePerHour())
                .setMaximumPerHour(budget.maximumPerHour())
                .setReclaimable(budget.reclaimable())
                .build();
    }

    private static Budget decode(PeerProtocol.Budget wire) {
        return new Budget(
                AvailabilityZone.of(wire.getZone()),
                HostClass.of(wire.getHostClass()),
                wire.getPricePerHour(),
                wire.getMaximumPerHour(),
                wire.getReclaimable());
    }
}
