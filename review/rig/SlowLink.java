import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Case: a config grows three times by many routes; an entry host has a small network link. */
final class SlowLink {
    /** Smallest link of an entry host in the users' pages. */
    private static final double MEGABITS_PER_SECOND = 5.25;

    /** Largest dose of big_config in the users' site files. */
    private static final int MORE_ROUTES = 1_400;

    private static final int FEW_ROUTES = 8;
    private static final int GROWTHS = 3;
    /** Bound of the site klamerka-wharf-large, whose entry hosts have such links. */
    private static final long CONFIG_APPLY_MILLIS = 3_000;

    private static final long PAUSE_MILLIS = 6_000;
    private static final long WATCH_MILLIS = 45_000;

    private SlowLink() {}

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Rig rig = new Rig(arguments[0])) {
            result = run(rig);
            rig.note("result %d", result);
        }
        System.exit(result);
    }

    private static int run(Rig rig) throws Exception {
        Map<String, Boolean> run = new ConcurrentHashMap<>();
        rig.new Server("app-0", "app", 6, request -> {
            run.put(request.id(), true);
            request.succeed("done".getBytes(StandardCharsets.UTF_8));
        });
        rig.limitLinks(3, MEGABITS_PER_SECOND);
        rig.startSystem(3, 1);
        if (rig.replaceConfig(withSecondKey(Documents.config(1, FEW_ROUTES)), 20_000) != 200
                || !rig.await(10_000, () -> rig.entries.getFirst().ready())) {
            return 2;
        }
        Thread.sleep(PAUSE_MILLIS);
        int broken = 0;
        for (int growth = 1; growth <= GROWTHS; growth++) {
            long version = 1 + 3L * growth;
            int routes = rig.trouble ? growth * MORE_ROUTES : FEW_ROUTES;
            boolean last = growth == GROWTHS;
            String config = Documents.config(version, routes);
            // The last version takes the second key away.
            int status = rig.replaceConfig(last ? config : withSecondKey(config), 4_000 + 3L * routes);
            long acknowledged = rig.millis();
            rig.note("version %d, %d bytes: status %d", version, config.length(), status);
            if (status != 200) {
                return 2;
            }
            broken += watch(rig, version, acknowledged, last ? WATCH_MILLIS : PAUSE_MILLIS, last, run);
        }
        rig.note("links that the entry daemon lost: %d", rig.entries.getFirst().log("event=link_closed").size());
        return broken > 0 ? 1 : 0;
    }

    /** Sends requests on a route of the version, and after the last version with the key that it took away. */
    private static int watch(
            Rig rig, long version, long acknowledged, long watchMillis, boolean keyRemoved, Map<String, Boolean> run)
            throws Exception {
        int older = 0;
        int withRemovedKey = 0;
        long inForce = -1;
        for (int number = 0; rig.millis() < acknowledged + watchMillis; number++) {
            long sent = rig.millis();
            boolean late = sent > acknowledged + CONFIG_APPLY_MILLIS;
            int status = send(rig, "new-" + version + "-" + number, "/idle0x" + version + "/probe", "key-a");
            if (status == 200 && inForce < 0) {
                inForce = sent - acknowledged;
            }
            older += status == 404 && late ? 1 : 0;
            if (keyRemoved) {
                String id = "key-" + number;
                send(rig, id, "/safe/x", "key-b");
                withRemovedKey += run.containsKey(id) && late ? 1 : 0;
            }
            Thread.sleep(150);
        }
        rig.note("version %d in force at the entry daemon after %s; sent later than config_apply_ms: %d requests got 404 on "
                        + "its route, %d ran with the key that it took away",
                version, inForce < 0 ? "more than " + watchMillis + " ms" : inForce + " ms", older, withRemovedKey);
        return older + withRemovedKey;
    }

    private static String withSecondKey(String config) {
        return config.replace("[\"key-a\"]", "[\"key-a\",\"key-b\"]");
    }

    private static int send(Rig rig, String id, String path, String key) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "site.example");
        headers.put("X-Plantainwharf-Attempt-Id", id);
        headers.put("X-Plantainwharf-Deadline-Ms", "1000");
        headers.put("Authorization", "Token " + key);
        try (Rig.Connection connection = rig.connect(rig.entries.getFirst().frontendAddress(), 1_000)) {
            connection.send("POST", path, headers, new byte[10]);
            return connection.receive(2_000).status;
        } catch (IOException e) {
            return 0;
        }
    }
}
