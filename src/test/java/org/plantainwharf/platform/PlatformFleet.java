package org.plantainwharf.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.plantainwharf.front.RawCaller;
import org.plantainwharf.testing.TestProcesses;

/**
 * A control daemon and two entry daemons, each in a process of its own and at an address of its own, in front of engines
 * of the test. Thread-safe after {@link #start}.
 */
final class PlatformFleet implements AutoCloseable {
    static final int ENTRIES = 2;

    private static final String SERVICE = "engines";
    private static final int ENGINES = 3;
    private static final Duration CONDITION_TIMEOUT = Duration.ofSeconds(20);

    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final List<ScriptedEngine> engines = new ArrayList<>();
    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final AtomicInteger requests = new AtomicInteger();
    private final int controlPort;
    private final int linkPort;
    private final int metricsPort;
    private final int callerPort;
    private final int readyPort;

    private PlatformFleet(Path folder) throws IOException {
        this.folder = folder;
        List<ServerSocket> sockets = new ArrayList<>();
        for (int index = 0; index < 5; index++) {
            sockets.add(new ServerSocket(0));
        }
        controlPort = sockets.get(0).getLocalPort();
        linkPort = Math.min(sockets.get(1).getLocalPort(), sockets.get(2).getLocalPort());
        metricsPort = Math.max(sockets.get(1).getLocalPort(), sockets.get(2).getLocalPort());
        callerPort = sockets.get(3).getLocalPort();
        readyPort = sockets.get(4).getLocalPort();
        for (ServerSocket socket : sockets) {
            socket.close();
        }
    }

    /** Starts all processes and engines, and waits until every entry daemon answers a request. */
    static PlatformFleet start(Path folder) throws IOException, InterruptedException {
        PlatformFleet fleet = new PlatformFleet(folder);
        boolean ready = false;
        try {
            fleet.startAll();
            ready = true;
        } finally {
            if (!ready) {
                fleet.close();
            }
        }
        return fleet;
    }

    private void startAll() throws IOException, InterruptedException {
        launch(
                "control",
                address(2),
                "\"data_dir\":\"" + folder.resolve("data") + "\",\"listen\":{\"control_plane\":\"" + controlAddress()
                        + "\"}");
        for (int entry = 0; entry < ENTRIES; entry++) {
            launch(
                    "entry-" + entry,
                    entryAddress(entry),
                    "\"listen\":{\"frontend\":\"" + entryAddress(entry) + ":" + callerPort + "\",\"ready\":\""
                            + entryAddress(entry) + ":" + readyPort + "\"}");
        }
        for (int engine = 0; engine < ENGINES; engine++) {
            engines.add(ScriptedEngine.start(controlAddress(), SERVICE));
        }
        awaitCondition("acceptance of the document", () -> status(document()) == 200);
        for (int entry = 0; entry < ENTRIES; entry++) {
            int index = entry;
            awaitCondition("an answer of entry daemon " + entry, () -> send(index, "c0:50,u0:5") == 200);
        }
    }

    private static String address(int number) {
        return "127.0.0." + number;
    }

    private static String entryAddress(int entry) {
        return address(3 + entry);
    }

    /** Returns the operator address of the control daemon. */
    String controlAddress() {
        return address(2) + ":" + controlPort;
    }

    private void launch(String name, String ip, String roleSettings) throws IOException {
        Files.createDirectories(folder.resolve("data"));
        Path file = folder.resolve(name + ".json");
        Files.writeString(
                file,
                ("{\"node_name\":\"%s\",\"ip\":\"%s\",\"zone\":\"zone-a\",\"seed_nodes\":[\"%s\"],"
                                + "\"bootstrap\":true,\"internal_port_range\":[%d,%d],\"bounds\":{\"grace_s\":3},%s}")
                        .formatted(name, ip, controlAddress(), linkPort, metricsPort, roleSettings));
        processes.add(TestProcesses.launch(
                folder.resolve(name + ".log"), "platform", "serve", "--settings", file.toString()));
    }

    private HttpRequest document() {
        // The client sends the address of the entry daemon as the host, so there is a route for each.
        String routes = IntStream.range(0, ENTRIES)
                .mapToObj(entry -> "{\"name\":\"r" + entry + "\",\"host\":\"" + entryAddress(entry)
                        + "\",\"path_prefix\":\"/r/\",\"type\":\"streaming\",\"timeout_ms\":6000,"
                        + "\"target_latency_ms\":2000,\"priority\":0,\"service\":\"" + SERVICE
                        + "\",\"max_attempts\":1,\"public\":true,\"session_affinity\":true,"
                        + "\"stream_resume\":false,\"itl_target_ms\":400}")
                .collect(Collectors.joining(","));
        String body = "{\"version\":1,\"routes\":[" + routes + "],"
                + "\"services\":[{\"name\":\"" + SERVICE + "\",\"health_path\":\"/healthz\",\"max_connections\":360,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[]}";
        return HttpRequest.newBuilder(URI.create("http://" + controlAddress() + "/Config.Replace"))
                .timeout(Duration.ofSeconds(2))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    /** Sends a request with these prompt parts to an entry daemon; returns its status, 0 if the answer was cut off. */
    int send(int entry, String parts) {
        return status(HttpRequest.newBuilder(
                        URI.create("http://" + entryAddress(entry) + ":" + callerPort + "/r/" + requests.get()))
                .timeout(Duration.ofSeconds(8))
                .header("X-Plantainwharf-Attempt-Id", "q-" + requests.incrementAndGet())
                .header("X-Plantainwharf-Deadline-Ms", "6000")
                .header("X-Plantainwharf-Model", "m")
                .header("X-Plantainwharf-Token-Counts", "60,10")
                .header("X-Plantainwharf-Prefix-Hash", parts)
                .POST(HttpRequest.BodyPublishers.ofString("body " + requests.get()))
                .build());
    }

    /** Sends a request line with this target to an entry daemon, and returns the status line of the answer. */
    String sendTarget(int entry, String target) throws IOException {
        try (Socket socket = new Socket(entryAddress(entry), callerPort)) {
            socket.setSoTimeout(8_000);
            String head = "GET " + target + " HTTP/1.1\r\nHost: " + entryAddress(entry)
                    + "\r\nX-Plantainwharf-Attempt-Id: q-" + requests.incrementAndGet()
                    + "\r\nX-Plantainwharf-Deadline-Ms: 3000\r\n\r\n";
            socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            return new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
                    .readLine();
        }
    }

    /** Sends a request to an entry daemon; returns the caller, who has not read the answer yet. */
    RawCaller call(int entry, RawCaller.Connection connection) throws IOException {
        RawCaller caller = RawCaller.connect(entryAddress(entry), callerPort);
        caller.send(
                connection,
                "/r/" + requests.incrementAndGet(),
                entryAddress(entry),
                "X-Plantainwharf-Attempt-Id: q-" + requests.get() + "\r\nX-Plantainwharf-Deadline-Ms: 6000\r\n");
        return caller;
    }

    /** Kills an entry daemon without a word. */
    void kill(int entry) throws InterruptedException {
        processes.get(1 + entry).destroyForcibly().waitFor();
    }

    /** Asks an entry daemon to stop. */
    void terminate(int entry) {
        processes.get(1 + entry).destroy();
    }

    /** Returns whether the log of a daemon, {@code control} or {@code entry-N}, has a line with all these texts. */
    boolean hasLogged(String daemon, String... texts) {
        try (Stream<String> lines = Files.lines(folder.resolve(daemon + ".log"))) {
            return lines.anyMatch(line -> Arrays.stream(texts).allMatch(line::contains));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private int status(HttpRequest request) {
        try {
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }

    List<ScriptedEngine> engines() {
        return engines;
    }

    boolean allProcessesRun() {
        return processes.stream().allMatch(Process::isAlive);
    }

    void awaitCondition(String description, BooleanSupplier condition) throws InterruptedException {
        TestProcesses.await(description, CONDITION_TIMEOUT, folder, condition);
    }

    @Override
    public void close() throws IOException, InterruptedException {
        for (ScriptedEngine engine : engines) {
            engine.close();
        }
        for (Process process : processes) {
            process.destroyForcibly().waitFor();
        }
    }
}
