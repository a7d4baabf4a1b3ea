package org.plantainwharf.transport;

import java.net.InetSocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;

/** Keeps one link open: dials again after each failure and each close. Used by the event loop only. */
final class Dialer {
    private static final long INITIAL_DELAY_MILLIS = 50;

    /** Bounds the time that a recovered host stays without links. */
    private static final long MAXIMUM_DELAY_MILLIS = 1_000;

    private final Bootstrap bootstrap;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final SplittableRandom random;
    private final BooleanSupplier linked;
    private long delayMillis = INITIAL_DELAY_MILLIS;
    private long openedNanos;
    private boolean stopped;

    /** {@code linked} says whether a link exists already, which the other side may have opened. */
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
        // A link that closes soon after it opened failed for a reason that a quick redial meets again.
        if (System.nanoTime() - openedNanos > TimeUnit.MILLISECONDS.toNanos(MAXIMUM_DELAY_MILLIS)) {
            delayMillis = INITIAL_DELAY_MILLIS;
        }
        scheduleDial();
    }

    private void scheduleDial() {
        if (stopped || loop.isShuttingDown()) {
            return;
        }
        // Half of the delay is random, so that the peers of a host that comes back do not all dial at one moment.
        long jitteredDelayMillis = delayMillis / 2 + random.nextLong(delayMillis / 2 + 1);
        delayMillis = Math.min(2 * delayMillis, MAXIMUM_DELAY_MILLIS);
        loop.schedule(this::dial, jitteredDelayMillis, TimeUnit.MILLISECONDS);
    }

    void stop() {
        stopped = true;
    }
}
