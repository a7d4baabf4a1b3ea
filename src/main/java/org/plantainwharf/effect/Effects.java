package org.plantainwharf.effect;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.event.Event;

/**
 * Collects what controllers ask for while one event is handled: effects for other threads, and events for other
 * controllers. Used by the control thread only.
 */
public final class Effects {
    private final List<Effect> effects = new ArrayList<>();
    private final Queue<Event> events = new ArrayDeque<>();

    private Effects() {}

    /** Returns an empty collection. */
    public static Effects create() {
        return new Effects();
    }

    /** Asks for an effect. */
    public void add(Effect effect) {
        effects.add(effect);
    }

    /** Adds 1 to a counter. */
    public void count(String metric) {
        effects.add(CountEffect.one(metric));
    }

    /** Asks for a line in the log, with names and values in turn. */
    public void log(String event, Object... namesAndValues) {
        effects.add(new LogEffect(event, List.of(namesAndValues)));
    }

    /** Posts an event, handled by all controllers after the current one and before any event of other threads. */
    public void post(Event event) {
        events.add(event);
    }

    /** Removes and returns the next posted event, or null when there is none. */
    public @Nullable Event pollEvent() {
        return events.poll();
    }

    /** Removes and returns the effects asked for so far, in order. */
    public List<Effect> drain() {
        List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }
}
