import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many users come at once whose prompts have many parts, in heads within the limit of the config. Counts the requests that
 * have no final answer half a second after their route's timeout.
 */
public final class LongPromptLists {
    private static final int ENTRIES = 2;
    private static final int SERVERS = 8;
    private static final int USUAL_CLIENTS = 100;

    /** A burst of 2.5 times the usual traffic for 6.5 s; the largest of the site file is x 2.5, the longest 6.9 s. */
    private static final int BURST_CLIENTS = 150;

    private static final int BURST_MILLIS = 6_500;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int DEADLINE_MILLIS = 14_000;
    private static final int EVENTS = 8;

    /** Parts of 16 tokens; the head has about 15,000 bytes of the 16,384 that the config allows. */
    private static final int PARTS = 1_200;

    private static final Map<String, AtomicInteger> SEEN = new TreeMap<>();
    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger LONGER = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static volatile boolean ending;

    public static void main(String[] arguments) throws Exception {
        SmallDeployment deployment = SmallDeployment.start(Path.of(arguments[0]), 3, ENTRIES);
        for (int number = 1; number <= SERVERS; number++) {
            deployment.addServer("srv-" + number, "reports", 64, (request, output) -> {
                output.write(bytes("HTTP/1.1 200 OK\r\nX-Plantainwharf-Attempt-Id: " + request.id()
                        + "\r\nX-Plantainwharf-Response-Seal: seal-of-" + request.id()
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
                for (int event = 1; event <= EVENTS; event++) {
                    String text = "id: " + event + "\ndata: piece\n\n";
                    output.write(bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n"));
                    Thread.sleep(500);
                }
                output.write(bytes("0\r\n\r\n"));
            });
        }
        deployment.putConfig("{\"version\":7,\"routes\":[{\"name\":\"batch-report\",\"host\":\"a.example\","
                + "\"path_prefix\":\"/report/\",\"type\":\"streaming\",\"timeout_ms\":" + TIMEOUT_MILLIS
                + ",\"target_latency_ms\":1500,\"priority\":1,\"service\":\"reports\",\"max_attempts\":1,"
                + "\"public\":true,\"session_affinity\":true,\"stream_resume\":false,\"itl_target_ms\":600}],"
                + "\"services\":[{\"name\":\"reports\",\"health_path\":\"/healthz\",\"max_connections\":370,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":4000000}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[]}");
        for (SmallDeployment.Daemon entry : deployment.entries()) {
            deployment.awaitReady(entry);
            for (int client = 0; client < USUAL_CLIENTS; client++) {
                SmallDeployment.daemonThread(() -> ask(deployment, entry, Long.MAX_VALUE));
                SmallDeployment.sleep(20);
            }
        }
        SmallDeployment.sleep(10_000);
        note(deployment, "before the burst");
        int answeredBefore = ANSWERED.get();
        LONGER.set(0);
        UNANSWERED.set(0);
        if (SmallDeployment.troubled()) {
            long end = System.nanoTime() + BURST_MILLIS * 1_000_000L;
            for (int client = 0; client < ENTRIES * BURST_CLIENTS; client++) {
                SmallDeployment.Daemon entry = deployment.entries().get(client % ENTRIES);
                SmallDeployment.daemonThread(() -> ask(deployment, entry, end));
                SmallDeployment.sleep(10);
            }
        }
        SmallDeployment.sleep(45_000);
        ending = true;
        note(deployment, "at the end");
        for (SmallDeployment.Daemon entry : deployment.entries()) {
            deployment.note(entry.name + (entry.isAlive() ? " runs" : " has ended"));
        }
        deployment.note(LONGER.get() + " requests had no final answer at the timeout, " + UNANSWERED.get()
                + " of them none half a second later");
        deployment.close();
        System.exit(
                answeredBefore < USUAL_CLIENTS
                        ? SmallDeployment.COULD_NOT_RUN
                        : UNANSWERED.get() >= 8 && 2 * UNANSWERED.get() > LONGER.get()
                                ? SmallDeployment.BROKEN
                                : SmallDeployment.HELD);
    }

    private static void note(SmallDeployment deployment, String when) {
        synchronized (SEEN) {
            SEEN.forEach((kind, count) -> deployment.note(when + ": " + count + " x " + kind));
        }
    }

    private static void ask(SmallDeployment deployment, SmallDeployment.Daemon entry, long endNanos) {
        while (!ending && System.nanoTime() < endNanos) {
            String kind;
            try (Socket socket = new Socket()) {
                socket.connect(entry.address(), 1_000);
                socket.setSoTimeout(DEADLINE_MILLIS);
                byte[] request = request(deployment.newAttempt());
                socket.getOutputStream().write(request);
                long sentNanos = System.nanoTime();
                SmallDeployment.Answer answer =
                        SmallDeployment.readAnswer(socket.getInputStream(), "POST");
                kind = (answer.closedWithoutAnswer() ? "closed" : answer.status())
                        + (answer.complete() ? "" : " cut");
                judge(sentNanos);
                if (answer.status() == 200 && answer.complete()) {
                    ANSWERED.incrementAndGet();
                }
            } catch (java.net.SocketTimeoutException e) {
                kind = "client gave up: " + e.getMessage();
                if (!kind.contains("onnect")) {
                    LONGER.incrementAndGet();
                    UNANSWERED.incrementAndGet();
                }
            } catch (IOException e) {
                kind = String.valueOf(e);
            }
            synchronized (SEEN) {
                SEEN.computeIfAbsent(kind, absent -> new AtomicInteger()).incrementAndGet();
            }
            if (!kind.equals("200")) {
                SmallDeployment.sleep(500);
            }
        }
    }

    private static void judge(long sentNanos) {
        long millis = (System.nanoTime() - sentNanos) / 1_000_000;
        if (millis > TIMEOUT_MILLIS) {
            LONGER.incrementAndGet();
        }
        if (millis > TIMEOUT_MILLIS + 500) {
            UNANSWERED.incrementAndGet();
        }
    }

    private static byte[] request(String id) {
        StringBuilder parts = new StringBuilder();
        for (int part = 0; part < PARTS; part++) {
            parts.append(part == 0 ? "" : ",")
                    .append(String.format("%08x", ThreadLocalRandom.current().nextInt()))
                    .append(":16");
        }
        return bytes("POST /report/1 HTTP/1.1\r\nHost: a.example\r\nX-Plantainwharf-Attempt-Id: " + id
                + "\r\nX-Plantainwharf-Model: m\r\nX-Plantainwharf-Token-Counts: " + 16 * PARTS
                + ",80\r\nX-Plantainwharf-Prefix-Hash: " + parts + "\r\nX-Plantainwharf-Deadline-Ms: "
                + DEADLINE_MILLIS + "\r\nContent-Length: 0\r\n\r\n");
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
