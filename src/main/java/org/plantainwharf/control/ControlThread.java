package org.plantainwharf.control;

import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.BoardView;
import org.plantainwharf.board.StatusView;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.log.EventLog;

/**
 * The single thread that owns the board. Other threads post events and read the published views; they share no lock
 * with the control thread beyond that of the event queue. The thread blocks on the queue until the next event or tick.
 * It survives the failure of a controller or an effect, but not an error of the virtual machine: the state on the board
 * is unknown then, and the process must end, see {@link FatalErrorHandler}.
 *
 * <p>Thread-safe: {@link #offer}, {@link #post}, {@link #view} and {@link #status} may be called from any thread.
 */
public final class ControlThread implements EventSink {
    /** Name of the thread. */
    public static final String THREAD_NAME = "control";

    private static final EventLog LOG = EventLog.of(FluentLogger.forEnclosingClass());
    private static final String FAILURE_METRIC = "control.failures";
    private static final long TICK_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final long STATUS_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Events that take longer are logged: no heartbeat is sent meanwhile, and peers soon consider this host silent. */
    private static final long SLOW_EVENT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final ControlCycle cycle;
    private final Clock clock;
    private final EffectExecutor executor;
    private final BlockingQueue<Event> queue;
    private final Thread thread;
    private volatile BoardView view;
    private volatile StatusView status;
    private volatile boolean stopping;

    private ControlThread(ControlCycle cycle, Clock clock, EffectExecutor executor, int queueCapacity) {
        this.cycle = cycle;
        this.clock = clock;
        this.executor = executor;
        this.queue = new ArrayBlockingQueue<>(queueCapacity);
        this.view = cycle.board().publish();
        this.status = StatusView.of(cycle.board(), clock.nowNanos());
        this.thread = new Thread(this::run, THREAD_NAME);
    }

    /** Returns a control thread that is not started yet. */
    public static ControlThread create(ControlCycle cycle, Clock clock, EffectExecutor executor, int queueCapacity) {
        return new ControlThread(cycle, clock, executor, queueCapacity);
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    @Override
    public boolean offer(Event event) {
        if (stopping || !queue.offer(event)) {
            return false;
        }
        // If the thread has ended meanwhile, nobody handles the event any more.
        return !stopping || !queue.remove(event);
    }

    @Override
    public void post(Event event) {
        boolean interrupted = false;
        while (!stopping) {
            try {
                queue.put(event);
                break;
            } catch (InterruptedException e) {
                interrupted = true;
            }
        }
        if (interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the latest published view of the board. */
    public BoardView view() {
        return view;
    }

    /** Returns the latest published status, which is updated about once a second. */
    public StatusView status() {
        return status;
    }

    /** Stops the thread and waits until it has ended. Events that were accepted before are handled first. */
    public void stop() throws InterruptedException {
        stopping = true;
        thread.interrupt();
        thread.join();
    }

    private void run() {
        long nextTick = clock.nowNanos();
        while (!stopping || !queue.isEmpty()) {
            try {
                long wait = stopping ? 0 : nextTick - clock.nowNanos();
                @Nullable Event event = wait > 0 ? queue.poll(wait, TimeUnit.NANOSECONDS) : queue.poll();
                if (event != null) {
                    handle(event);
                }
                if (clock.nowNanos() - nextTick >= 0) {
                    handle(new TimerEvent.Tick());
                    if (clock.nowNanos() - status.takenNanos() >= STATUS_PERIOD_NANOS) {
                        status = StatusView.of(cycle.board(), clock.nowNanos());
                    }
                    nextTick = clock.nowNanos() + TICK_PERIOD_NANOS;
                }
            } catch (InterruptedException e) {
                LOG.info("control_interrupted", "stopping", stopping);
            }
        }
    }

    private void handle(Event event) {
        long startNanos = clock.nowNanos();
        long decidedNanos = startNanos;
        try {
            List<Effect> effects = cycle.run(event, startNanos, clock.wallClockMillis(), this::onControllerFailure);
            decidedNanos = clock.nowNanos();
            effects.forEach(this::execute);
        } catch (RuntimeException e) {
            // The cycle itself failed. The failure is logged and the daemon continues.
            onFailure(e, "type", event.getClass().getSimpleName());
        }
        view = cycle.board().publish();
        long endNanos = clock.nowNanos();
        if (endNanos - startNanos > SLOW_EVENT_NANOS) {
            LOG.info(
                    "event_slow",
                    "type",
                    event.getClass().getSimpleName(),
                    "decide_ms",
                    TimeUnit.NANOSECONDS.toMillis(decidedNanos - startNanos),
                    "execute_ms",
                    TimeUnit.NANOSECONDS.toMillis(endNanos - decidedNanos));
        }
    }

    private void onControllerFailure(Controller controller, Event event, Throwable cause) {
        onFailure(
                cause,
                "controller",
                controller.getClass().getSimpleName(),
                "type",
                event.getClass().getSimpleName());
    }

    /** Executes an effect. One that fails must not take the others of its cycle with it. */
    private void execute(Effect effect) {
        try {
            executor.execute(effect);
        } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError e) {
            onFailure(e, "effect", effect.getClass().getSimpleName());
        }
    }

    private void onFailure(Throwable cause, Object... namesAndValues) {
        LOG.severe("control_failure", cause, namesAndValues);
        try {
            executor.execute(CountEffect.one(FAILURE_METRIC));
        } catch (RuntimeException e) {
            LOG.severe("control_failure", e, "effect", FAILURE_METRIC);
        }
    }
}
