package org.plantainwharf.log;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.plantainwharf.control.Clock;

/**
 * Writes events as JSON objects, one per line, on a dedicated thread. Its memory and output are bounded: lines beyond a
 * rate limit per event name are left out, and lines that find the queue full are dropped. The log reports how many were
 * left out in {@code lines_left_out}, when the first line of another second is written, and how many were dropped in
 * {@code log_closed}.
 *
 * <p>{@link #write} is thread-safe and never blocks. The state of the rate limit is confined to the writer thread.
 */
public final class LineLog implements LogSink, AutoCloseable {
    /**
     * Lines that can wait for the writer thread: those of one second at the highest rate that the rate limits allow.
     */
    private static final int QUEUE_CAPACITY = 4_096;

    /** Rate limit per event name. A daemon at the target size handles 60 requests per second. */
    private static final int MAXIMUM_LINES_PER_SECOND = 200;

    private static final ObjectMapper JSON = new ObjectMapper();

    private final BlockingQueue<Line> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final Clock clock;
    private final PrintStream output;
    private final String host;
    private final Thread writerThread;
    private final Map<String, int[]> linesByEvent = new HashMap<>();
    private long currentSecond;
    private volatile boolean closed;

    private record Line(String event, long millis, Object[] fields) {}

    private LineLog(Clock clock, PrintStream output, String host) {
        this.clock = clock;
        this.output = output;
        this.host = host;
        this.writerThread = new Thread(this::run, "log");
        this.writerThread.setDaemon(true);
    }

    /** Returns a log whose writer thread has been started. */
    public static LineLog start(Clock clock, PrintStream output, String host) {
        LineLog log = new LineLog(clock, output, host);
        log.writerThread.start();
        return log;
    }

    /** Queues a line for the writer thread, or drops and counts it if the queue is full. */
    @Override
    public void write(String event, Object... namesAndValues) {
        if (!queue.offer(new Line(event, clock.wallClockMillis(), namesAndValues))) {
            dropped.incrementAndGet();
        }
    }

    /** Returns the number of lines that were dropped because the queue was full. */
    public long dropped() {
        return dropped.get();
    }

    private void run() {
        List<Line> lines = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        try {
            while (!closed || !queue.isEmpty()) {
                lines.add(queue.take());
                queue.drainTo(lines);
                lines.forEach(line -> append(line, text));
                byte[] bytes = text.toString().getBytes(StandardCharsets.UTF_8);
                output.write(bytes, 0, bytes.length);
                output.flush();
                lines.clear();
                text.setLength(0);
            }
        } catch (InterruptedException e) {
            // The thread ends here; lines that are still queued are not written.
            Thread.currentThread().interrupt();
        }
    }

    private void append(Line line, StringBuilder text) {
        if (line.millis() / 1_000 != currentSecond) {
            currentSecond = line.millis() / 1_000;
            linesByEvent.forEach((event, count) -> {
                if (count[0] > MAXIMUM_LINES_PER_SECOND) {
                    text.append(json(
                            "lines_left_out",
                            line.millis(),
                            "of",
                            event,
                            "count",
                            count[0] - MAXIMUM_LINES_PER_SECOND));
                }
            });
            linesByEvent.clear();
        }
        int[] count = linesByEvent.computeIfAbsent(line.event(), event -> new int[1]);
        if (++count[0] <= MAXIMUM_LINES_PER_SECOND) {
            text.append(json(line.event(), line.millis(), line.fields()));
        }
    }

    private String json(String event, long millis, Object... fields) {
        ObjectNode object = JSON.createObjectNode();
        object.put("ms", millis).put("host", host).put("event", event);
        for (int index = 0; index + 1 < fields.length; index += 2) {
            String name = String.valueOf(fields[index]);
            Object value = fields[index + 1];
            switch (value) {
                case Long number -> object.put(name, number);
                case Integer number -> object.put(name, number);
                case Double number -> object.put(name, number);
                case Boolean flag -> object.put(name, flag);
                default -> object.put(name, String.valueOf(value));
            }
        }
        return object + "\n";
    }

    /** Writes the queued lines and stops the writer thread, for which it waits at most 1 s. */
    @Override
    public void close() throws InterruptedException {
        closed = true;
        write("log_closed", "dropped", dropped.get());
        writerThread.join(1_000);
    }
}
