package org.plantainwharf.standin;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** What both stand-ins do as processes. Stateless; thread-safe. */
final class StandInProcess {
    private static final long POLL_MILLIS = 20;

    private StandInProcess() {}

    /** Waits until the process is told to end, runs a task and ends the process with status 0, or 1 if it failed. */
    static int runUntilTerminated(Runnable gracefulStop) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            int status = 1;
            try {
                gracefulStop.run();
                status = 0;
            } finally {
                // A process that ends by a signal would otherwise report the signal, also after a graceful end.
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

    /** Waits until nothing runs any more, at most for a limit. */
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

    /** Returns the fields that all announcements have, but sequence and token. */
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
