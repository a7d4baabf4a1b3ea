package org.plantainwharf.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.plantainwharf.board.Board;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.testing.Samples;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

/**
 * Guards against an unexpected error in one place that takes a whole process down, or that loses or repeats what other
 * parts decided in the same cycle.
 */
class ControlFailureTest {
    private static final Event EVENT = new ForwardEvent.ForwardLeft(1);
    private static final Event POSTED = new ForwardEvent.ForwardLeft(2);

    private final Board board = Board.create(Samples.settings("edge-1"), 1, 7);

    private static List<Throwable> failures() {
        return List.of(
                new IllegalStateException("unexpected"),
                new StackOverflowError(),
                new NoClassDefFoundError("missing"),
                new AssertionError("unexpected"));
    }

    private static void fail(Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        throw (RuntimeException) failure;
    }

    /** Returns a controller that adds an effect, posts an event and then fails, but only for {@link #EVENT}. */
    private static Controller failing(Throwable failure) {
        return (event, seen, nowNanos, effects) -> {
            if (event.equals(EVENT)) {
                effects.count("before the failure");
                effects.post(POSTED);
                fail(failure);
            }
        };
    }

    private static Controller counting(String metric) {
        return (event, seen, nowNanos, effects) -> {
            if (event.equals(EVENT) || event.equals(POSTED)) {
                effects.count(metric + (event.equals(POSTED) ? " posted" : ""));
            }
        };
    }

    @Nested
    class FailingControllers {
        @ParameterizedTest
        @MethodSource("org.plantainwharf.control.ControlFailureTest#failures")
        void neitherStopTheOthersNorLoseOrDelayTheEffectsOfTheCycle(Throwable failure) {
            List<Throwable> reported = new ArrayList<>();
            ControlCycle cycle =
                    ControlCycle.create(board, List.of(counting("first"), failing(failure), counting("last")));
            List<Effect> effects = cycle.run(EVENT, 0, 0, (controller, event, cause) -> reported.add(cause));
            assertEquals(
                    List.of(
                            CountEffect.one("first"),
                            CountEffect.one("before the failure"),
                            CountEffect.one("last"),
                            CountEffect.one("first posted"),
                            CountEffect.one("last posted")),
                    effects);
            assertEquals(List.of(failure), reported);
            assertEquals(List.of(), cycle.run(new TimerEvent.Tick(), 0, 0));
        }

        /** Tests and benchmarks run cycles directly and must not overlook a failure. */
        @Test
        void failTheCycleWithoutAListener() {
            ControlCycle cycle = ControlCycle.create(board, List.of(failing(new IllegalStateException("unexpected"))));
            assertThrows(IllegalStateException.class, () -> cycle.run(EVENT, 0, 0));
        }
    }

    @Nested
    @Timeout(30)
    class ControlThreads {
        private final BlockingQueue<String> executed = new LinkedBlockingQueue<>();
        private ControlThread thread = start(effect -> {});

        private ControlThread start(EffectExecutor executor, Controller... controllers) {
            ControlThread started = ControlThread.create(
                    ControlCycle.create(board, List.of(controllers)), Clock.system(), executor, 16);
            started.start();
            return started;
        }

        @AfterEach
        void stop() throws InterruptedException {
            thread.stop();
        }

        private String nextExecuted() throws InterruptedException {
            return String.valueOf(executed.poll(20, TimeUnit.SECONDS));
        }

        private void record(Effect effect) {
            if (effect instanceof CountEffect count) {
                executed.add(count.metric());
            }
        }

        @ParameterizedTest
        @MethodSource("org.plantainwharf.control.ControlFailureTest#failures")
        void continueAndCountWhenAControllerFails(Throwable failure) throws InterruptedException {
            thread.stop();
            thread = start(this::record, failing(failure), counting("last"));
            thread.post(EVENT);
            assertEquals("control.failures", nextExecuted());
            assertEquals("before the failure", nextExecuted());
            assertEquals("last", nextExecuted());
            assertEquals("last posted", nextExecuted());
            thread.post(POSTED);
            assertEquals("last posted", nextExecuted());
        }

        @ParameterizedTest
        @MethodSource("org.plantainwharf.control.ControlFailureTest#failures")
        void executeTheOtherEffectsWhenOneFails(Throwable failure) throws InterruptedException {
            thread.stop();
            thread = start(
                    effect -> {
                        if (effect.equals(CountEffect.one("first"))) {
                            fail(failure);
                        }
                        record(effect);
                    },
                    counting("first"),
                    counting("last"));
            thread.post(EVENT);
            assertEquals("control.failures", nextExecuted());
            assertEquals("last", nextExecuted());
        }
    }

    /** A request that was accepted but never decided is cut off without an answer when its daemon stops. */
    @Nested
    class StoppedThreads {
        private static final int PRODUCERS = 4;
        private static final int EVENTS_BEFORE_THE_STOP = 5_000;

        @Test
        void handleEveryEventThatTheyAccepted() throws InterruptedException {
            AtomicInteger handled = new AtomicInteger();
            Controller counter = (event, seen, nowNanos, effects) -> {
                if (event.equals(EVENT)) {
                    handled.incrementAndGet();
                }
            };
            ControlThread control = ControlThread.create(
                    ControlCycle.create(board, List.of(counter)), Clock.system(), effect -> {}, 1_000);
            control.start();
            AtomicInteger accepted = new AtomicInteger();
            AtomicBoolean stopped = new AtomicBoolean();
            List<Thread> producers = new ArrayList<>();
            for (int index = 0; index < PRODUCERS; index++) {
                Thread producer = new Thread(() -> {
                    while (!stopped.get()) {
                        if (control.offer(EVENT)) {
                            accepted.incrementAndGet();
                        }
                    }
                });
                producer.start();
                producers.add(producer);
            }
            while (handled.get() < EVENTS_BEFORE_THE_STOP) {
                Thread.sleep(1);
            }
            control.stop();
            stopped.set(true);
            for (Thread producer : producers) {
                producer.join();
            }
            assertEquals(accepted.get(), handled.get());
        }
    }

    /** A process that stays up without its control thread accepts connections and answers nobody. */
    @Nested
    @Timeout(30)
    class FatalErrors {
        private static final Set<String> ESSENTIAL = Set.of(ControlThread.THREAD_NAME);

        private final BlockingQueue<Integer> halts = new LinkedBlockingQueue<>();
        private final FatalErrorHandler handler = FatalErrorHandler.create(ESSENTIAL, halts::add);

        private void die(String threadName, Throwable cause) throws InterruptedException {
            Thread thread = new Thread(() -> fail(cause), threadName);
            thread.setUncaughtExceptionHandler(handler);
            thread.start();
            thread.join();
        }

        @Test
        void ofTheControlThreadEndTheProcess() throws InterruptedException {
            Thread.@Nullable UncaughtExceptionHandler previous = Thread.getDefaultUncaughtExceptionHandler();
            Thread.setDefaultUncaughtExceptionHandler(handler);
            try {
                ControlThread thread = ControlThread.create(
                        ControlCycle.create(board, List.of(failing(new OutOfMemoryError("injected")))),
                        Clock.system(),
                        effect -> {},
                        16);
                thread.start();
                thread.post(EVENT);
                assertEquals(FatalErrorHandler.EXIT_STATUS, halts.poll(20, TimeUnit.SECONDS));
                thread.stop();
            } finally {
                Thread.setDefaultUncaughtExceptionHandler(previous);
            }
        }

        @Test
        void ofTheVirtualMachineEndTheProcessOnAnyThread() throws InterruptedException {
            die("traffic", new OutOfMemoryError("injected"));
            assertEquals(List.of(FatalErrorHandler.EXIT_STATUS), List.copyOf(halts));
        }

        @Test
        void doNotIncludeTheExceptionOfAReplaceableThread() throws InterruptedException {
            die("traffic", new IllegalStateException("unexpected"));
            die("traffic", new StackOverflowError());
            assertEquals(List.of(), List.copyOf(halts));
        }
    }
}
