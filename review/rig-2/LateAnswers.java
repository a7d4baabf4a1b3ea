import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A config shortens the timeout of a route to about the time that its servers take, so that answers arrive around the
 * timeout. Checks what clients get (MIXED).
 */
public final class LateAnswers {
    private static final int ENTRIES = 3;
    private static final int SERVERS = 7;
    private static final int CLIENTS_PER_ENTRY = 100;
    private static final int FIRST_TIMEOUT_MILLIS = 3_000;
    private static final int CHANGED_TIMEOUT_MILLIS = 300;
    private static final int WORK_MILLIS = 280;
    private static final int WORK_SPREAD_MILLIS = 80;
    private static final int SECONDS = 80;
    private static final int ENOUGH = 5;

    private static final Map<String, String> BODIES = new ConcurrentHashMap<>();
    private static final Map<String, AtomicInteger> SEEN = new TreeMap<>();
    private static final AtomicInteger BROKEN = new AtomicInteger();
    private static volatile boolean ending;

    public static void main(String[] arguments) throws Exception {
        SmallDeployment deployment = SmallDeployment.start(Path.of(arguments[0]), 3, ENTRIES);
        for (int number = 0; number < SERVERS; number++) {
            deployment.addServer("srv-" + number, "stock", 64, (request, output) -> {
                long work = WORK_MILLIS * 1_000L
                        + ThreadLocalRandom.current().nextInt(WORK_SPREAD_MILLIS * 1_000);
                Thread.sleep(Duration.ofNanos(work * 1_000));
                String body = "stock of " + request.id();
                BODIES.put(request.id(), body);
                output.write(bytes("HTTP/1.1 200 OK\r\nX-Plantainwharf-Attempt-Id: " + request.id()
                        + "\r\nX-Plantainwharf-Response-Seal: seal-of-" + request.id()
                        + "\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n"
                        + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n"));
            });
        }
        deployment.putConfig(config(7, FIRST_TIMEOUT_MILLIS));
        for (SmallDeployment.Daemon entry : deployment.entries()) {
            deployment.awaitReady(entry);
            for (int client = 0; client < CLIENTS_PER_ENTRY; client++) {
                SmallDeployment.daemonThread(() -> ask(deployment, entry));
                SmallDeployment.sleep(5);
            }
        }
        SmallDeployment.sleep(2_000);
        if (SmallDeployment.troubled()) {
            deployment.putConfig(config(9, CHANGED_TIMEOUT_MILLIS));
        }
        for (int second = 0; second < SECONDS && BROKEN.get() < ENOUGH; second++) {
            SmallDeployment.sleep(1_000);
        }
        ending = true;
        SmallDeployment.sleep(1_500);
        synchronized (SEEN) {
            SEEN.forEach((kind, count) -> deployment.note(count + " x " + kind));
        }
        boolean served = SEEN.getOrDefault("200 whole", new AtomicInteger()).get() > 0;
        deployment.note(BROKEN.get() + " answers break MIXED");
        deployment.close();
        System.exit(
                BROKEN.get() > 0
                        ? SmallDeployment.BROKEN
                        : served ? SmallDeployment.HELD : SmallDeployment.COULD_NOT_RUN);
    }

    private static String config(int version, int timeoutMillis) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"stock-read\",\"host\":\"a.example\","
                + "\"path_prefix\":\"/stock/\",\"type\":\"safe\",\"timeout_ms\":" + timeoutMillis
                + ",\"target_latency_ms\":400,\"priority\":1,\"service\":\"stock\",\"max_attempts\":2,"
                + "\"public\":true}],\"services\":[{\"name\":\"stock\",\"health_path\":\"/healthz\","
                + "\"max_connections\":500,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
                + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[]}";
    }

    /** One client, which keeps its channel open for many requests. */
    private static void ask(SmallDeployment deployment, SmallDeployment.Daemon entry) {
        while (!ending) {
            try (Socket socket = new Socket()) {
                socket.connect(entry.address(), 1_000);
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(5_000);
                InputStream input = socket.getInputStream();
                boolean open = true;
                while (open && !ending) {
                    String id = deployment.newAttempt();
                    socket.getOutputStream()
                            .write(bytes("GET /stock/1 HTTP/1.1\r\nHost: a.example\r\nX-Plantainwharf-Attempt-Id: "
                                    + id + "\r\nX-Plantainwharf-Deadline-Ms: 3000\r\n\r\n"));
                    SmallDeployment.Answer answer = SmallDeployment.readAnswer(input, "GET");
                    check(deployment, id, answer);
                    open = answer.complete()
                            && !"close".equalsIgnoreCase(answer.headers().get("connection"));
                }
            } catch (IOException e) {
                SmallDeployment.sleep(100);
            }
        }
    }

    private static void check(SmallDeployment deployment, String id, SmallDeployment.Answer answer) {
        boolean sealed = answer.headers().containsKey("x-plantainwharf-response-seal");
        boolean success = answer.status() / 100 == 2;
        boolean whole = answer.text().equals(BODIES.get(id));
        String kind = answer.status() + (answer.complete() ? "" : " cut") + (whole ? " whole" : "")
                + (sealed && !success ? " with the server's seal" : "");
        synchronized (SEEN) {
            SEEN.computeIfAbsent(kind, absent -> new AtomicInteger()).incrementAndGet();
        }
        boolean foreignBody = success && answer.complete() && !whole;
        boolean otherStatus = sealed && !success;
        boolean foreignSeal =
                success && !("seal-of-" + id).equals(answer.headers().get("x-plantainwharf-response-seal"));
        if (foreignBody || otherStatus || foreignSeal) {
            BROKEN.incrementAndGet();
            deployment.note("request " + id + ": the server gave status 200 with the body \"" + BODIES.get(id)
                    + "\"; the client got status " + answer.status() + ", headers " + answer.headers() + ", body \""
                    + answer.text() + "\"");
        }
        BODIES.remove(id);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
