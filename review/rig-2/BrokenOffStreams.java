import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One server of eight breaks off some of its streams, four seconds of five; the others are sound. Checks that clients get
 * the events of each stream in order (ORDER).
 */
public final class BrokenOffStreams {
    private static final int ENTRIES = 3;
    private static final int SERVERS = 8;
    private static final int CLIENTS_PER_ENTRY = 100;
    private static final int EVENTS = 20;
    private static final int SECONDS = 95;
    private static final int ENOUGH = 2;

    /** Part of the streams of one server in eight that are broken off: inside the defaults of srv_grey, .15 and .4. */
    private static final double BROKEN_OFF = 0.4;

    private static final String GREY_SERVER = "srv-1";
    private static final long GREY_MILLIS = 4_000;
    private static final long PAUSE_MILLIS = 1_000;

    private static final Map<String, StringBuffer> WRITTEN = new ConcurrentHashMap<>();
    private static final Map<String, AtomicInteger> SEEN = new TreeMap<>();
    private static final AtomicInteger BROKEN = new AtomicInteger();
    private static volatile boolean ending;

    public static void main(String[] arguments) throws Exception {
        SmallDeployment deployment = SmallDeployment.start(Path.of(arguments[0]), 3, ENTRIES);
        for (int number = 1; number <= SERVERS; number++) {
            String server = "srv-" + number;
            deployment.addServer(server, "chat", 64, (request, output) -> stream(server, request, output));
        }
        deployment.putConfig("{\"version\":7,\"routes\":[{\"name\":\"shop-chat\",\"host\":\"a.example\","
                + "\"path_prefix\":\"/chat/\",\"type\":\"streaming\",\"timeout_ms\":10000,\"target_latency_ms\":400,"
                + "\"priority\":1,\"service\":\"chat\",\"max_attempts\":3,\"public\":true,\"session_affinity\":true,"
                + "\"stream_resume\":true,\"itl_target_ms\":300}],\"services\":[{\"name\":\"chat\",\"health_path\":"
                + "\"/healthz\",\"max_connections\":370,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
                + "\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[]}");
        for (SmallDeployment.Daemon entry : deployment.entries()) {
            deployment.awaitReady(entry);
            for (int client = 0; client < CLIENTS_PER_ENTRY; client++) {
                SmallDeployment.daemonThread(() -> ask(deployment, entry));
            }
        }
        for (int second = 0; second < SECONDS && BROKEN.get() < ENOUGH; second++) {
            SmallDeployment.sleep(1_000);
        }
        ending = true;
        SmallDeployment.sleep(500);
        synchronized (SEEN) {
            SEEN.forEach((kind, count) -> deployment.note(count + " x " + kind));
        }
        boolean served = SEEN.getOrDefault("200", new AtomicInteger()).get() > 0;
        deployment.note(BROKEN.get() + " streams break ORDER");
        deployment.close();
        System.exit(
                BROKEN.get() > 0
                        ? SmallDeployment.BROKEN
                        : served ? SmallDeployment.HELD : SmallDeployment.COULD_NOT_RUN);
    }

    /** Sends the events after the last one that the request names, one chunk each. */
    private static void stream(String server, SmallDeployment.Request request, OutputStream output)
            throws IOException, InterruptedException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        int last = Integer.parseInt(request.headers().getOrDefault("last-event-id", "0"));
        boolean grey = System.nanoTime() / 1_000_000 % (GREY_MILLIS + PAUSE_MILLIS) < GREY_MILLIS;
        boolean breaksOff = SmallDeployment.troubled() && grey && server.equals(GREY_SERVER) && random.nextDouble() < BROKEN_OFF;
        int end = breaksOff ? last + 1 + random.nextInt(EVENTS) : Integer.MAX_VALUE;
        StringBuffer written = WRITTEN.computeIfAbsent(request.id(), absent -> new StringBuffer());
        written.append(server).append(" after ").append(last).append(':');
        output.write(bytes("HTTP/1.1 200 OK\r\nX-Plantainwharf-Attempt-Id: " + request.id()
                + "\r\nX-Plantainwharf-Response-Seal: seal-of-" + request.id()
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int event = last + 1; event <= EVENTS; event++) {
            String text = "id: " + event + "\ndata: " + "p".repeat(random.nextInt(300)) + "\n\n";
            byte[] chunk = bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            int cut = random.nextInt(chunk.length);
            if (event == end) {
                if (random.nextBoolean()) {
                    output.write(chunk, 0, cut);
                }
                written.append(" broken off in ").append(event).append("; ");
                throw new IOException("broken off");
            }
            output.write(chunk, 0, cut);
            if (random.nextInt(4) == 0) {
                Thread.sleep(3);
            }
            output.write(chunk, cut, chunk.length - cut);
            written.append(' ').append(event);
            Thread.sleep(random.nextInt(15));
        }
        output.write(bytes("0\r\n\r\n"));
        written.append(" whole");
    }

    private static void ask(SmallDeployment deployment, SmallDeployment.Daemon entry) {
        while (!ending) {
            String id = deployment.newAttempt();
            SmallDeployment.Answer answer = deployment.send(
                    entry,
                    bytes("POST /chat/1 HTTP/1.1\r\nHost: a.example\r\nX-Plantainwharf-Attempt-Id: " + id
                            + "\r\nX-Plantainwharf-Model: m\r\nX-Plantainwharf-Token-Counts: 100,80\r\n"
                            + "X-Plantainwharf-Prefix-Hash: 5c1e07a2:50,91bd3f06:50\r\n"
                            + "X-Plantainwharf-Deadline-Ms: 10000\r\nContent-Length: 0\r\n\r\n"),
                    "POST",
                    12_000);
            List<Integer> events = answer.text()
                    .lines()
                    .filter(line -> line.startsWith("id: "))
                    .map(line -> Integer.parseInt(line.substring("id: ".length())))
                    .toList();
            boolean inOrder = true;
            for (int index = 0; index < events.size(); index++) {
                inOrder &= events.get(index) == index + 1;
            }
            boolean endsEarly = answer.status() == 200 && answer.complete() && events.size() < EVENTS;
            if (!inOrder || endsEarly) {
                BROKEN.incrementAndGet();
                deployment.note("stream " + id + " by " + entry.name + ": the servers wrote [" + WRITTEN.get(id)
                        + "], the client got status " + answer.status() + (answer.complete() ? ", complete" : ", cut off")
                        + ", with the events " + events);
            }
            WRITTEN.remove(id);
            String kind = (answer.closedWithoutAnswer() ? "closed" : answer.status())
                    + (answer.complete() ? "" : " cut off") + (inOrder ? "" : ", out of order")
                    + (endsEarly ? ", ends early" : "");
            synchronized (SEEN) {
                SEEN.computeIfAbsent(kind, absent -> new AtomicInteger()).incrementAndGet();
            }
        }
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
