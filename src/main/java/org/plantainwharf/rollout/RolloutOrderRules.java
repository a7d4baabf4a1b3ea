package org.plantainwharf.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.plantainwharf.event.RolloutEvent;

/** What an order must state to be valid, whatever the document says. Stateless. */
public final class RolloutOrderRules {
    /** Longest time that may be ordered. */
    public static final Duration MAXIMUM_DURATION = Duration.ofDays(1);

    private RolloutOrderRules() {}

    /** Returns every problem of an order: the field, its value and what is allowed. */
    static List<String> problems(RolloutEvent.RolloutOrdered ordered) {
        List<String> problems = new ArrayList<>();
        if (!ordered.target().stated()) {
            problems.add("target version must not be empty");
        }
        if (ordered.durationMillis() <= 0 || ordered.durationMillis() > MAXIMUM_DURATION.toMillis()) {
            problems.add("duration must be above 0 and at most " + MAXIMUM_DURATION.toMillis() + " ms, got "
                    + ordered.durationMillis());
        }
        return problems;
    }
}
