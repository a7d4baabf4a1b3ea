package org.plantainwharf.front;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.plantainwharf.board.BoardView;
import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.sheet.ClientAccount;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Route;
import org.plantainwharf.sheet.Sheet;
import org.plantainwharf.sheet.SheetDigest;

/** Settings and a sheet for tests. The account {@code mill} has the key {@code mill-key}. */
public final class Fixture {
    /** Maximum body size in the settings, in bytes. */
    public static final int BODY_BYTES = 4_096;

    private Fixture() {}

    /** Returns settings with ports that the operating system chooses. */
    public static Settings settings() {
        return new Settings(
                HostId.of("host-1"),
                AvailabilityZone.of("zone-a"),
                HostClass.of("standard"),
                "127.0.0.1:0",
                "127.0.0.1:0",
                "127.0.0.1:0",
                Optional.empty(),
                List.of(),
                1,
                Settings.Timings.defaults(),
                new Settings.Bounds(BODY_BYTES, 4_096, 1 << 20, 100, 10, 10, 256));
    }

    /** Returns a sheet with two accounts, two ranks and two routes. */
    public static Sheet sheet() {
        RankName urgent = RankName.of("urgent");
        RankName longWork = RankName.of("long");
        return new Sheet(
                1,
                "digest",
                Map.of(
                        AccountName.of("mill"),
                        account("mill", Set.of(urgent, longWork)),
                        AccountName.of("yard"),
                        account("yard", Set.of(longWork))),
                Map.of(
                        urgent, new Rank(urgent, 500, 5_000, 10, 0),
                        longWork, new Rank(longWork, 60_000, 600_000, 1, 0.1)),
                Map.of(
                        RouteName.of("stock"), new Route(RouteName.of("stock"), urgent, true),
                        RouteName.of("order"), new Route(RouteName.of("order"), longWork, false)),
                List.of());
    }

    private static ClientAccount account(String name, Set<RankName> ranks) {
        return new ClientAccount(AccountName.of(name), SheetDigest.ofKey(name + "-key"), 1, 100, ranks);
    }

    /** Returns a view of a board on which {@link #sheet} is in force. */
    public static BoardView view(DrainPhase phase) {
        return new BoardView(Optional.of(sheet()), false, phase, 0, false, false);
    }
}
