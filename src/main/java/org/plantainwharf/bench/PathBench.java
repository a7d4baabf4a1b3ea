package org.plantainwharf.bench;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.sun.management.OperatingSystemMXBean;
import org.plantainwharf.daemon.Daemon;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.sheet.SheetDigest;
import org.plantainwharf.standin.StandInService;

/**
 * Compares service calls through one daemon with the same calls sent directly to the stand-in service, in one process
 * and one run: latency of sequential calls, and throughput and processor time of parallel calls. Not thread-safe.
 */
public final class PathBench {
    private static final int WARM_UP_CALLS = 2_000;
    private static final int SEQUENTIAL_CALLS = 2_000;
    private static final int PARALLEL_CALLS = 20_000;
    private static final int MAXIMUM_IN_FLIGHT = 32;
    private static final int READY_ATTEMPTS = 300;
    private static final String API_KEY = "path-bench-key";

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private final PrintStream output;
    private final AtomicInteger failedCalls = new AtomicInteger();

    private PathBench(PrintStream output) {
        this.output = output;
    }

    /** Runs the benchmark and prints one line for each of the two paths, then their difference and ratios. */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        new PathBench(System.out).run();
        System.exit(0);
    }

    private void run() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("plantainwharf-path");
        int peerPort = freePort();
        Daemon daemon = Daemon.start(settings(folder, peerPort))
                .getOrElseThrow(failure -> new IllegalStateException(failure.message()));
        StandInService service = StandInService.start(
                () -> {},
                "--server",
                "service",
                "--zone",
                "a",
                "--slots",
                "1000",
                "--service-millis",
                "0",
                "--routes",
                "stock",
                "--operators",
                "127.0.0.1:" + daemon.operatorPort());
        awaitReady(daemon);
        HttpRequest.Builder directRequest = HttpRequest.newBuilder(
                        URI.create("http://" + service.address() + "/call/stock"))
                .header("X-Request-Id", "direct")
                .header("X-Attempt", "1")
                .header("Idempotency-Key", "direct");
        HttpRequest.Builder daemonRequest = daemonRequest(daemon);
        Result directResult = measure(directRequest);
        Result daemonResult = measure(daemonRequest);
        output.println("way             median ms   95th ms   calls/s   processor us a call  refused");
        print("direct", directResult);
        print("through daemon", daemonResult);
        output.printf(
                Locale.ROOT,
                "added median %.3f ms; calls/s ratio %.2f; processor time ratio %.2f%n",
                daemonResult.medianMillis() - directResult.medianMillis(),
                daemonResult.callsPerSecond() / directResult.callsPerSecond(),
                daemonResult.processorMicros() / directResult.processorMicros());
        service.close();
        daemon.close();
    }

    private record Result(
            double medianMillis,
            double percentile95Millis,
            double callsPerSecond,
            double processorMicros,
            int failedCalls) {}

    private void print(String path, Result result) {
        output.printf(
                Locale.ROOT,
                "%-15s %9.3f %9.3f %9.0f %21.0f %8d%n",
                path,
                result.medianMillis(),
                result.percentile95Millis(),
                result.callsPerSecond(),
                result.processorMicros(),
                result.failedCalls());
    }

    private Result measure(HttpRequest.Builder call) throws IOException, InterruptedException {
        for (int count = 0; count < WARM_UP_CALLS; count++) {
            send(call);
        }
        double[] millis = new double[SEQUENTIAL_CALLS];
        for (int count = 0; count < SEQUENTIAL_CALLS; count++) {
            long start = System.nanoTime();
            send(call);
            millis[count] = (System.nanoTime() - start) / 1e6;
        }
        Arrays.sort(millis);
        sendParallel(call);
        failedCalls.set(0);
        long processor = processorNanos();
        long start = System.nanoTime();
        sendParallel(call);
        double seconds = (System.nanoTime() - start) / 1e9;
        double processorMicros = (processorNanos() - processor) / 1e3 / PARALLEL_CALLS;
        return new Result(
                millis[SEQUENTIAL_CALLS / 2],
                millis[SEQUENTIAL_CALLS * 95 / 100],
                PARALLEL_CALLS / seconds,
                processorMicros,
                failedCalls.get());
    }

    /**
     * Sends calls with a bounded number in flight. The processor time of the process includes the client and the
     * stand-in service on both paths alike.
     */
    private void sendParallel(HttpRequest.Builder call) throws InterruptedException {
        Semaphore inFlight = new Semaphore(MAXIMUM_IN_FLIGHT);
        for (int count = 0; count < PARALLEL_CALLS; count++) {
            inFlight.acquire();
            client.sendAsync(request(call), HttpResponse.BodyHandlers.discarding())
                    .whenComplete((answer, problem) -> {
                        if (answer == null || answer.statusCode() != 200) {
                            failedCalls.incrementAndGet();
                        }
                        inFlight.release();
                    });
        }
        inFlight.acquire(MAXIMUM_IN_FLIGHT);
    }

    private void send(HttpRequest.Builder call) throws IOException, InterruptedException {
        HttpResponse<String> answer = client.send(request(call), HttpResponse.BodyHandlers.ofString());
        if (answer.statusCode() != 200) {
            throw new IllegalStateException(
                    "call failed with HTTP status " + answer.statusCode() + ": " + answer.body());
        }
    }

    private static HttpRequest request(HttpRequest.Builder call) {
        return call.copy()
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString("{\"item\":\"" + UUID.randomUUID() + "\"}"))
                .build();
    }

    private static HttpRequest.Builder daemonRequest(Daemon daemon) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + daemon.callerPort() + "/v1/services/stock"))
                .header("Authorization", "Bearer " + API_KEY);
    }

    private void awaitReady(Daemon daemon) throws IOException, InterruptedException {
        HttpRequest sheet = HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + daemon.operatorPort() + "/admin/sheet"))
                .POST(HttpRequest.BodyPublishers.ofString(sheetText(), StandardCharsets.UTF_8))
                .build();
        HttpRequest call = request(daemonRequest(daemon));
        for (int count = 0; count < READY_ATTEMPTS; count++) {
            client.send(sheet, HttpResponse.BodyHandlers.discarding());
            if (client.send(call, HttpResponse.BodyHandlers.discarding()).statusCode() == 200) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(100);
        }
        throw new IllegalStateException("daemon did not become ready within " + READY_ATTEMPTS + " attempts");
    }

    private static String sheetText() {
        return """
                version;1
                [accounts]
                name;key digest;weight;requests per second;ranks
                bench;%s;1;1000000;urgent
                [ranks]
                name;latency target ms;deadline ms;worth;floor share
                urgent;2 000;10 000;20;0,35
                [routes]
                name;rank;repeatable
                stock;urgent;yes
                [budgets]
                zone;host class;price per hour;maximum per hour;reclaimable
                a;standard;0,5;1;yes
                """.formatted(SheetDigest.ofKey(API_KEY));
    }

    private static Settings settings(Path folder, int peerPort) {
        HostId host = HostId.of("bench");
        AvailabilityZone zone = AvailabilityZone.of("a");
        return new Settings(
                host,
                zone,
                HostClass.of("entry"),
                "127.0.0.1:0",
                "127.0.0.1:0",
                "127.0.0.1:" + peerPort,
                Optional.of(folder.toString()),
                List.of(new Settings.HostEntry(host, zone, "127.0.0.1:" + peerPort, true)),
                1,
                Settings.Timings.defaults(),
                Settings.Bounds.defaults());
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private static long processorNanos() {
        return ((OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean()).getProcessCpuTime();
    }
}
