package org.plantainwharf.testing;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.plantainwharf.board.Board;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.Content;
import org.plantainwharf.call.Origin;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.IdempotencyKey;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.record.Digests;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.sheet.ClientAccount;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Route;
import org.plantainwharf.sheet.Sheet;

/** Creates small valid values for tests. Stateless and thread-safe. */
public final class Samples {
    public static final AccountName ACCOUNT = AccountName.of("workshop");
    public static final RankName URGENT = RankName.of("urgent");
    public static final RankName LONG = RankName.of("long");
    public static final RouteName ORDERS = RouteName.of("orders");
    public static final ModelName MODEL = ModelName.of("small");

    private Samples() {}

    /** Returns a sheet with one account, two ranks, one route for orders and no budgets. */
    public static Sheet sheet(long version, String digest) {
        return new Sheet(
                version,
                digest,
                Map.of(ACCOUNT, new ClientAccount(ACCOUNT, "00", 1, 1_000, Set.of(URGENT, LONG))),
                Map.of(
                        URGENT, new Rank(URGENT, 500, 10_000, 10, 0.5),
                        LONG, new Rank(LONG, 60_000, 600_000, 1, 0.1)),
                Map.of(ORDERS, new Route(ORDERS, URGENT, false)),
                List.of());
    }

    /** Returns the settings of a host in zone {@code a} that has no data folder and lists no other hosts. */
    public static Settings settings(String host) {
        return new Settings(
                HostId.of(host),
                AvailabilityZone.of("a"),
                HostClass.of("reclaimable-small"),
                "127.0.0.1:0",
                "127.0.0.1:0",
                "127.0.0.1:0",
                Optional.empty(),
                List.of(),
                1,
                Settings.Timings.defaults(),
                Settings.Bounds.defaults());
    }

    /** Returns a board for a host with the given incarnation; version 1 of the sample sheet is in force. */
    public static Board board(String host, long incarnation) {
        Board board = Board.create(settings(host), incarnation, 7);
        board.configuration().putInForce(sheet(1, "first"));
        return board;
    }

    /** Returns an order of the sample account on {@link #ORDERS}, due ten seconds after {@code nowNanos}. */
    public static Call order(String requestId, String key, String body, long nowNanos) {
        return call(requestId, new CallKind.Order(ORDERS, IdempotencyKey.of(key)), body, nowNanos);
    }

    /** Returns an urgent call of the sample account, due ten seconds after {@code nowNanos}. */
    public static Call call(String requestId, CallKind kind, String body, long nowNanos) {
        Content content = Content.of("application/json", body.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        return new Call(
                RequestId.of(requestId),
                ACCOUNT,
                URGENT,
                kind,
                content,
                Digests.fingerprint(ACCOUNT, content),
                new Origin.Caller(),
                nowNanos,
                nowNanos + 10_000_000_000L);
    }

    /** Returns the kind of a call to {@link #MODEL}, streamed or answered in one piece. */
    public static CallKind.Model modelCallKind(boolean stream) {
        return new CallKind.Model(MODEL, 100, 50, List.of(), stream);
    }
}
