package org.plantainwharf.standin;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Process life cycle and announcement fields common to both stand-ins. Stateless; thread-safe. */
final class StandInProcess {
    private static final long POLL_MILLIS = 20;

    private StandInProcess() {}

    /**
     * Blocks until the process receives a termination signal, then runs a task and terminates the process with status 0, or
     * 1 if the task throws.
     */
    static int runUntilTerminated(Runnable gracefulStop) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            int status = 1;
            try {
                gracefulStop.run();
                status = 0;
            } finally {
                // Without halt the exit status would be that of the signal even after a graceful stop.
                Runtime.getRuntime().halt(status);
            }
        }));
        try {
            new CountDownLatch(1).await();
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    /** Polls until a condition holds, the time limit has passed or the thread is interrupted. */
    static void awaitIdle(BooleanSupplier idle, long limitMillis) {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMillis);
        try {
            while (!idle.getAsBoolean() && System.nanoTime() - end < 0) {
                TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the fields common to all announcements, except sequence and token. */
    static ObjectNode announcement(
            StandInOptions options, long incarnation, String address, boolean leaving, int running, int queued) {
        ObjectNode body = StandInExchange.newObject()
                .put("server", options.server())
                .put("incarnation", incarnation)
                .put("address", address)
                .put("zone", options.zone())
                .put("hostClass", options.hostClass())
                .put("slots", options.slots())
                .put("leaving", leaving);
        body.putObject("load").put("running", running).put("queued", queued).put("ageMillis", 0);
        return body;
    }
}
