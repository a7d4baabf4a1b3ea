import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** Case: a burst of proper requests whose bodies are nearly as large as the config allows, at the speed of the link. */
final class BigBodies {
    private static final int REQUESTS = 120;
    /** The config allows 4,194,304 bytes. */
    private static final int LARGE_BYTES = 4_000_000;

    private static final int SMALL_BYTES = 24_000;
    /** 30 bodies a second are 960 Mbit/s; the link of the entry host has 1,000. */
    private static final long GAP_MILLIS = 33;

    private static final long WORK_MILLIS = 2_500;
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final long LATE_MILLIS = 500;

    private BigBodies() {}

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Rig rig = new Rig(arguments[0])) {
            result = run(rig);
            rig.note("result %d", result);
        }
        System.exit(result);
    }

    private static int run(Rig rig) throws Exception {
        for (int index = 0; index < 4; index++) {
            rig.new Server("llm-" + index, "llm", 64, request -> {
                Thread.sleep(WORK_MILLIS);
                request.succeed("done".getBytes(StandardCharsets.UTF_8));
            });
        }
        rig.startSystem(4, 1);
        if (rig.replaceConfig(Documents.config(1, 8), 20_000) != 200
                || !rig.await(10_000, () -> rig.entries.getFirst().ready())) {
            return 2;
        }
        Thread.sleep(3_500);
        int bytes = rig.trouble ? LARGE_BYTES : SMALL_BYTES;
        Map<String, Integer> ends = new TreeMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int index = 0; index < REQUESTS; index++) {
            String id = "request-" + index;
            clients.add(rig.thread(id, () -> send(rig, id, bytes, ends)));
            Thread.sleep(GAP_MILLIS);
        }
        for (Thread client : clients) {
            client.join(20_000);
        }
        rig.note("ends of the requests: %s", ends);
        rig.note("entry daemon %s; OutOfMemoryError in its log: %d",
                rig.entries.getFirst().alive() ? "runs" : "has ended",
                rig.entries.getFirst().log("OutOfMemoryError").size());
        int refused = ends.entrySet().stream()
                .filter(end -> end.getKey().startsWith("3") || end.getKey().startsWith("4"))
                .mapToInt(Map.Entry::getValue)
                .sum();
        int unanswered = ends.getOrDefault("no answer", 0);
        int late = ends.getOrDefault("answer after timeout_ms", 0) + unanswered;
        boolean denied = refused > 5 + REQUESTS / 500;
        boolean held = 2 * unanswered > late;
        rig.note("DENIED: %d proper requests ended with a 3xx or 4xx: %s", refused, denied ? "broken" : "kept");
        rig.note("CONFIG: %d of %d that were unanswered at timeout_ms had no answer 0.5 s after it: %s", unanswered, late,
                held ? "broken" : "kept");
        return denied || held ? 1 : 0;
    }

    private static void send(Rig rig, String id, int bytes, Map<String, Integer> ends) throws Exception {
        long sent = rig.millis();
        String end;
        AtomicBoolean gaveUp = new AtomicBoolean();
        try (Rig.Connection connection = rig.connect(rig.entries.getFirst().frontendAddress(), 1_000)) {
            rig.thread("watch-" + id, () -> {
                Thread.sleep(TIMEOUT_MILLIS + LATE_MILLIS);
                gaveUp.set(true);
                connection.close();
            });
            Map<String, String> headers = new LinkedHashMap<>();
            headers.put("Host", "site.example");
            headers.put("X-Plantainwharf-Attempt-Id", id);
            headers.put("X-Plantainwharf-Deadline-Ms", String.valueOf(TIMEOUT_MILLIS));
            headers.put("Authorization", "Token key-a");
            connection.send("POST", "/stream/x", headers, new byte[bytes]);
            Rig.Answer answer = connection.receive((int) (TIMEOUT_MILLIS + LATE_MILLIS));
            end = rig.millis() - sent > TIMEOUT_MILLIS
                    ? "answer after timeout_ms"
                    : answer.status == 0 ? "channel closed" : answer.status + (answer.complete ? "" : " incomplete");
        } catch (SocketTimeoutException e) {
            end = "no answer";
        } catch (IOException e) {
            end = gaveUp.get() ? "no answer" : "channel reset";
        }
        rig.note("%s: %s after %d ms", id, end, rig.millis() - sent);
        synchronized (ends) {
            ends.merge(end, 1, Integer::sum);
        }
    }
}
