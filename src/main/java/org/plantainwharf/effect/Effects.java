package org.plantainwharf.effect;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.event.Event;

/**
 * Collects the output of controllers while one event is handled: effects for other threads and events for other
 * controllers. Not thread-safe; used by the control thread only.
 */
public final class Effects {
    private final List<Effect> effects = new ArrayList<>();
    private final Queue<Event> events = new ArrayDeque<>();

    private Effects() {}

    /** Returns an empty collection. */
    public static Effects create() {
        return new Effects();
    }

    /** Adds an effect. */
    public void add(Effect effect) {
        effects.add(effect);
    }

    /** Adds an effect that increments a counter by 1. */
    public void count(String metric) {
        effects.add(CountEffect.one(metric));
    }

    /** Adds an effect that writes a log line. Field names and values alternate. */
    public void log(String event, Object... namesAndValues) {
        effects.add(new LogEffect(event, List.of(namesAndValues)));
    }

    /** Posts an event. All controllers handle it after the current event and before any event from other threads. */
    public void post(Event event) {
        events.add(event);
    }

    /** Removes and returns the next posted event, or null when there is none. */
    public @Nullable Event pollEvent() {
        return events.poll();
    }

    /** Removes and returns the effects added so far, in order. */
    public List<Effect> drain() {
        List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }
}
