import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A valid config raises both weights of a split alike, and the same clients send the same requests before and after it.
 * Requests must have an answer half a second after the route's timeout.
 */
public final class NewWeights {
    private static final int ENTRIES = 2;
    private static final int REQUESTS = 20;
    private static final int TIMEOUT_MILLIS = 2_000;
    private static final int DEADLINE_MILLIS = 6_000;

    /** Twice config_apply_ms. */
    private static final int SETTLE_MILLIS = 4_000;

    /** What clients and servers have seen of the requests of one config. */
    private record Result(int answered, int unanswered, int unansweredLate, int run) {}

    private static final AtomicInteger RUN = new AtomicInteger();

    public static void main(String[] arguments) throws Exception {
        SmallDeployment deployment = SmallDeployment.start(Path.of(arguments[0]), 3, ENTRIES);
        for (String service : List.of("stock-1", "stock-2")) {
            for (int number = 1; number <= 2; number++) {
                deployment.addServer("srv-" + service + "-" + number, service, 6, (request, output) -> {
                    RUN.incrementAndGet();
                    deployment.note("server of " + service + " runs " + request.id());
                    Thread.sleep(80);
                    output.write(("HTTP/1.1 200 OK\r\nX-Plantainwharf-Attempt-Id: " + request.id()
                                    + "\r\nX-Plantainwharf-Response-Seal: seal-of-" + request.id()
                                    + "\r\nContent-Length: 2\r\n\r\nok")
                            .getBytes(StandardCharsets.ISO_8859_1));
                });
            }
        }
        deployment.putConfig(config(7, 1));
        deployment.entries().forEach(deployment::awaitReady);
        Result before = play(deployment);
        if (SmallDeployment.troubled()) {
            deployment.putConfig(config(9, 2_000_000_000));
        }
        SmallDeployment.sleep(SETTLE_MILLIS);
        Result after = play(deployment);
        deployment.note("before: " + before + "; after: " + after);
        deployment.close();
        if (before.answered() < ENTRIES * REQUESTS) {
            System.exit(SmallDeployment.COULD_NOT_RUN);
        }
        boolean broken = after.unanswered() >= 8 && 2 * after.unansweredLate() > after.unanswered();
        System.exit(broken ? SmallDeployment.BROKEN : SmallDeployment.HELD);
    }

    /** Sends requests to each entry daemon and waits until the clients have answers or give up. */
    private static Result play(SmallDeployment deployment) throws Exception {
        int runBefore = RUN.get();
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger unansweredLate = new AtomicInteger();
        try (ExecutorService clients = Executors.newFixedThreadPool(ENTRIES * REQUESTS)) {
            List<Future<?>> sent = new ArrayList<>();
            for (SmallDeployment.Daemon entry : deployment.entries()) {
                for (int request = 0; request < REQUESTS; request++) {
                    SmallDeployment.sleep(60);
                    sent.add(clients.submit(() -> {
                        String id = deployment.newAttempt();
                        long sentNanos = System.nanoTime();
                        SmallDeployment.Answer answer = deployment.send(entry, request(id), "GET", DEADLINE_MILLIS);
                        long millis = (System.nanoTime() - sentNanos) / 1_000_000;
                        if (millis > TIMEOUT_MILLIS) {
                            unanswered.incrementAndGet();
                        }
                        if (millis > TIMEOUT_MILLIS + 500) {
                            unansweredLate.incrementAndGet();
                        }
                        if (answer.status() == 200) {
                            answered.incrementAndGet();
                        }
                        deployment.note("client of " + entry.name + ": " + id + " got "
                                + (answer.closedWithoutAnswer() ? answer.problem() : answer.status() + " " + answer.text())
                                + " after " + millis + " ms");
                    }));
                }
            }
            for (Future<?> next : sent) {
                next.get();
            }
        }
        return new Result(answered.get(), unanswered.get(), unansweredLate.get(), RUN.get() - runBefore);
    }

    private static byte[] request(String id) {
        return ("GET /stock/1 HTTP/1.1\r\nHost: a.example\r\nX-Plantainwharf-Attempt-Id: " + id
                        + "\r\nAuthorization: Token key-of-t1\r\nX-Plantainwharf-Deadline-Ms: " + DEADLINE_MILLIS
                        + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String config(int version, int weight) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"stock-read\",\"host\":\"a.example\","
                + "\"path_prefix\":\"/stock/\",\"type\":\"safe\",\"timeout_ms\":" + TIMEOUT_MILLIS
                + ",\"target_latency_ms\":400,\"priority\":1,\"traffic_split\":[{\"service\":\"stock-1\",\"weight\":"
                + weight + "},{\"service\":\"stock-2\",\"weight\":" + weight
                + "}],\"max_attempts\":2,\"public\":false}],\"services\":[{\"name\":\"stock-1\",\"health_path\":"
                + "\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"stock-2\","
                + "\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key-of-t1\"]}]}";
    }
}
