import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer pings the control daemons with bodies that name no server. Counts processes that end by themselves. */
public final class ForeignPings {
    private static final int CONTROLS = 4;
    private static final int WRITERS = 2;

    /** Just below the 4,194,304 bytes that the control address takes. */
    private static final int PING_BYTES = 4_190_000;

    private static final int BEAT_MILLIS = 1_200;
    private static final int SECONDS = 60;
    private static final int RESTART_MILLIS = 500;
    private static final int ENDS_OF_ONE = 3;

    private static final Map<String, AtomicInteger> SEEN = new TreeMap<>();

    public static void main(String[] arguments) throws Exception {
        SmallDeployment deployment = SmallDeployment.start(Path.of(arguments[0]), CONTROLS, 1);
        deployment.addServer("srv-1", "stock", 6, (request, output) -> output.write(("HTTP/1.1 200 OK\r\n"
                        + "X-Plantainwharf-Attempt-Id: " + request.id() + "\r\nX-Plantainwharf-Response-Seal: seal\r\n"
                        + "Content-Length: 2\r\n\r\nok")
                .getBytes(StandardCharsets.ISO_8859_1)));
        deployment.putConfig("{\"version\":7,\"routes\":[{\"name\":\"stock-read\",\"host\":\"a.example\","
                + "\"path_prefix\":\"/stock/\",\"type\":\"safe\",\"timeout_ms\":3000,\"target_latency_ms\":400,"
                + "\"priority\":1,\"service\":\"stock\",\"max_attempts\":2,\"public\":true}],\"services\":[{"
                + "\"name\":\"stock\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\","
                + "\"tls\":false}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[]}");
        deployment.awaitReady(deployment.entries().getFirst());
        deployment.note("the system is ready");
        if (SmallDeployment.troubled()) {
            String ping = ping();
            deployment.note(WRITERS + " writers ping every " + BEAT_MILLIS + " ms with " + ping.length()
                    + " bytes: " + ping.substring(0, 90) + "...");
            for (int writer = 1; writer <= WRITERS; writer++) {
                String id = "crates-" + writer;
                SmallDeployment.daemonThread(() -> write(deployment, id, ping));
            }
        }
        int[] ends = new int[CONTROLS];
        for (int step = 0; step < SECONDS * 10 && brokenBy(ends) < CONTROLS / 2; step++) {
            SmallDeployment.sleep(100);
            for (int number = 0; number < CONTROLS; number++) {
                SmallDeployment.Daemon control = deployment.controls().get(number);
                if (!control.isAlive()) {
                    ends[number]++;
                    deployment.note(control.name + " ended by itself with status " + control.process.exitValue()
                            + ", time " + ends[number]);
                    SmallDeployment.sleep(RESTART_MILLIS);
                    deployment.restart(control);
                }
            }
        }
        synchronized (SEEN) {
            SEEN.forEach((kind, count) -> deployment.note(count + " x " + kind));
        }
        int broken = brokenBy(ends);
        deployment.note(broken + " of " + CONTROLS + " core processes ended by themselves three times");
        deployment.close();
        System.exit(broken >= CONTROLS / 2 ? SmallDeployment.BROKEN : SmallDeployment.HELD);
    }

    private static int brokenBy(int[] ends) {
        int count = 0;
        for (int own : ends) {
            count += own >= ENDS_OF_ONE ? 1 : 0;
        }
        return count;
    }

    /** Returns a list of another system's objects; it has the fields of no ping. */
    private static String ping() {
        StringBuilder ping = new StringBuilder("{\"service\":\"crates\",\"entries\":[");
        while (ping.length() < PING_BYTES) {
            ping.append("{\"id\":\"k7\"},");
        }
        ping.setLength(ping.length() - 1);
        return ping.append("]}").toString();
    }

    /** Beats like a server: an answer within a second ends the beat, otherwise the next daemon is called. */
    private static void write(SmallDeployment deployment, String id, String ping) {
        int next = 0;
        while (true) {
            for (int call = 0; call < CONTROLS; call++) {
                SmallDeployment.Daemon control = deployment.controls().get(next % CONTROLS);
                String result;
                boolean answered = false;
                try {
                    SmallDeployment.Answer answer = deployment.post(control, "/Instances.Heartbeat/" + id, ping);
                    answered = answer.status() / 100 == 2 || answer.status() / 100 == 4;
                    result = answer.closedWithoutAnswer() ? answer.problem() : String.valueOf(answer.status());
                } catch (IOException e) {
                    result = String.valueOf(e);
                }
                String kind = "ping to " + control.name + ": " + result;
                synchronized (SEEN) {
                    SEEN.computeIfAbsent(kind, absent -> new AtomicInteger()).incrementAndGet();
                }
                if (answered) {
                    break;
                }
                next++;
            }
            SmallDeployment.sleep(BEAT_MILLIS);
        }
    }
}
