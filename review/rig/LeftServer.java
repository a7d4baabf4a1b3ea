import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Case: a server deregisters first and is acknowledged; then all processes are killed and start again; then a ping
 * arrives that the server sent before it deregistered.
 */
final class LeftServer {
    private static final long CONTACT_MILLIS = 3_000;
    private static final long DRAIN_MILLIS = 2_000;
    private static final long SERVES_ON_MILLIS = 9_000;

    private LeftServer() {}

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Rig rig = new Rig(arguments[0])) {
            result = run(rig);
            rig.note("result %d", result);
        }
        System.exit(result);
    }

    private static int run(Rig rig) throws Exception {
        Map<String, Long> sentMillis = new ConcurrentHashMap<>();
        Queue<String> atLeaver = new ConcurrentLinkedQueue<>();
        AtomicLong deregisteredMillis = new AtomicLong(Long.MAX_VALUE);
        for (int index = 0; index < 3; index++) {
            rig.new Server("app-" + index, "app", index == 0 ? "za" : "zb", 6, request -> {
                Thread.sleep(85);
                request.succeed("done".getBytes(StandardCharsets.UTF_8));
            });
        }
        Rig.Server leaver = rig.new Server("app-leaver", "app", "za", 6, request -> {
            if (rig.millis() > deregisteredMillis.get()) {
                atLeaver.add(request.id() + " " + rig.millis());
            }
            Thread.sleep(85);
            request.succeed("done".getBytes(StandardCharsets.UTF_8));
        });
        rig.startSystem(4, 2);
        if (rig.replaceConfig(Documents.config(1, 8), 20_000) != 200
                || !rig.await(10_000, () -> rig.entries.stream().allMatch(Rig.Daemon::ready))) {
            return 2;
        }
        Thread.sleep(CONTACT_MILLIS + 500);
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger others = new AtomicInteger();
        rig.thread("clients", () -> {
            for (int index = 0; ; index++) {
                String id = "request-" + index;
                Rig.Daemon entry = rig.entries.get(index % rig.entries.size());
                rig.thread(id, () -> {
                    try (Rig.Connection connection = rig.connect(entry.frontendAddress(), 1_000)) {
                        Map<String, String> headers = new LinkedHashMap<>();
                        headers.put("Host", "site.example");
                        headers.put("X-Plantainwharf-Attempt-Id", id);
                        headers.put("X-Plantainwharf-Deadline-Ms", "3000");
                        headers.put("Authorization", "Token key-a");
                        sentMillis.put(id, rig.millis());
                        connection.send("POST", "/unsafe/x", headers, new byte[100]);
                        (connection.receive(4_000).status == 200 ? answered : others).incrementAndGet();
                    }
                });
                Thread.sleep(15);
            }
        });
        Thread.sleep(1_000);
        leaver.stopReporting();
        Thread.sleep(1_300);
        // Made now, delivered later.
        byte[] lateReport = leaver.body("ready").getBytes(StandardCharsets.UTF_8);
        byte[] farewell = ("{\"born\":" + leaver.born + ",\"sequence\":1000}").getBytes(StandardCharsets.UTF_8);
        int acknowledged = rig.call(rig.controls.getFirst().controlAddress(), "POST",
                        "/Instances.Deregister/app-leaver", farewell, 1_000)
                .status;
        deregisteredMillis.set(rig.millis());
        rig.note("app-leaver deregistered: status %d", acknowledged);
        if (acknowledged != 200) {
            return 2;
        }
        Thread.sleep(300);
        if (rig.trouble) {
            for (Rig.Daemon daemon : rig.controls) {
                daemon.signal("KILL");
            }
            for (Rig.Daemon daemon : rig.entries) {
                daemon.signal("KILL");
            }
            Thread.sleep(500);
            for (Rig.Daemon daemon : rig.controls) {
                daemon.start();
            }
            for (Rig.Daemon daemon : rig.entries) {
                daemon.start();
            }
        }
        long inTouchMillis = rig.millis() + CONTACT_MILLIS + 100;
        Thread.sleep(2_500);
        boolean delivered = rig.await(2_000, () -> rig.controls.stream()
                .anyMatch(daemon -> rig.call(daemon.controlAddress(), "POST", "/Instances.Heartbeat/app-leaver", lateReport, 1_000)
                                .status
                        == 200));
        rig.note("the report that app-leaver sent before it deregistered arrives %d ms after the acknowledgement: %s",
                rig.millis() - deregisteredMillis.get(), delivered ? "status 200" : "no 200");
        Thread.sleep(Math.max(0, deregisteredMillis.get() + SERVES_ON_MILLIS - rig.millis()));
        int broken = 0;
        for (String arrival : atLeaver) {
            String[] words = arrival.split(" ");
            long sent = sentMillis.getOrDefault(words[0], 0L);
            long arrived = Long.parseLong(words[1]);
            boolean counts = sent >= inTouchMillis && arrived > deregisteredMillis.get() + DRAIN_MILLIS;
            broken += counts ? 1 : 0;
            rig.note("app-leaver gets %s at %d ms, %d ms after the acknowledgement%s", words[0], arrived,
                    arrived - deregisteredMillis.get(), counts ? ": counts" : "");
        }
        rig.note("requests answered 200: %d, otherwise: %d; at the server that had left, in touch and over drain_ms late: %d",
                answered.get(), others.get(), broken);
        return broken > 0 ? 1 : 0;
    }
}
