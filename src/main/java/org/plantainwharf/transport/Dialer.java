package org.plantainwharf.transport;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;

/**
 * Keeps one link open by redialling, with jittered exponential backoff, after each failed connection attempt and each
 * close. Confined to the event loop.
 */
final class Dialer {
    private static final long INITIAL_DELAY_MILLIS = 50;

    /** Bounds how long a recovered host stays without links. */
    private static final long MAXIMUM_DELAY_MILLIS = 1_000;

    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final SplittableRandom random;
    private final BooleanSupplier linked;
    private long delayMillis = INITIAL_DELAY_MILLIS;
    private long openedNanos;
    private boolean stopped;

    /**
     * Creates a dialer that does nothing until {@link #dial}.
     *
     * @param linked returns whether a link to the peer exists, which the peer may have opened; no dial is made while it
     *     does
     */
    Dialer(
            Bootstrap bootstrap,
            InetSocketAddress address,
            EventLoop loop,
            SplittableRandom random,
            BooleanSupplier linked) {
        this.linked = linked;
        this.bootstrap = bootstrap;
        this.address = address;
        this.loop = loop;
        this.random = random;
    }

    void dial() {
        if (stopped) {
            return;
        }
        if (linked.getAsBoolean()) {
            scheduleDial();
            return;
        }
        bootstrap.connect(address).addListener((ChannelFuture connected) -> {
            if (connected.isSuccess()) {
                openedNanos = System.nanoTime();
                connected.channel().closeFuture().addListener(closed -> closed());
            } else {
                scheduleDial();
            }
        });
    }

    private void closed() {
        // The backoff is reset only if the link stayed open for a while. A link that closes soon after opening probably
        // failed for a reason that a quick redial would meet again.
        if (System.nanoTime() - openedNanos > TimeUnit.MILLISECONDS.toNanos(MAXIMUM_DELAY_MILLIS)) {
            delayMillis = INITIAL_DELAY_MILLIS;
        }
        scheduleDial();
    }

    private void scheduleDial() {
        if (stopped || loop.isShuttingDown()) {
            return;
        }
        // Half of the delay is random, so that the peers of a restarted host do not all dial it at the same time.
        long jitteredDelayMillis = delayMillis / 2 + random.nextLong(delayMillis / 2 + 1);
        delayMillis = Math.min(2 * delayMillis, MAXIMUM_DELAY_MILLIS);
        loop.schedule(this::dial, jitteredDelayMillis, TimeUnit.MILLISECONDS);
    }

    void stop() {
        stopped = true;
    }
}
