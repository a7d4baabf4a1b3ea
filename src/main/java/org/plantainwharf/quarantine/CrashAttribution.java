package org.plantainwharf.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.plantainwharf.identity.Fingerprint;

/**
 * Determines which contents caused the crashes that they were present at. Most requests at a crash only ran beside the
 * one that caused it, so the smallest explanation is preferred: the content that was present at the most crashes is
 * blamed for all of them, and the others are judged by the crashes that are left. Stateless.
 */
final class CrashAttribution {
    /** Crashes that no blamed content explains and at which content must have been present to be blamed. */
    static final int MINIMUM_CRASHES = 3;

    private CrashAttribution() {}

    /**
     * Crashes that a content was present at and has not been cleared of.
     *
     * @param crashIds ids of the crashes
     * @param count sum of their counts; larger if the servers were answering requests with the content
     */
    record Presence(Set<String> crashIds, double count) {
        /** Returns the crashes of both, with the sum of their counts. */
        Presence plus(Presence other) {
            Set<String> all = new HashSet<>(crashIds);
            all.addAll(other.crashIds);
            return new Presence(all, count + other.count);
        }
    }

    /** Returns the contents to blame. */
    static Set<Fingerprint> blamed(Map<Fingerprint, Presence> presences) {
        Map<Fingerprint, Presence> unexplained = new HashMap<>();
        presences.forEach((content, presence) -> {
            if (presence.crashIds().size() >= MINIMUM_CRASHES) {
                unexplained.put(content, new Presence(new HashSet<>(presence.crashIds()), presence.count()));
            }
        });
        Set<Fingerprint> blamed = new LinkedHashSet<>();
        Optional<Map.Entry<Fingerprint, Presence>> next = mostPresent(unexplained);
        while (next.isPresent()) {
            Fingerprint content = next.get().getKey();
            Set<String> explained = next.get().getValue().crashIds();
            blamed.add(content);
            unexplained.remove(content);
            unexplained.values().forEach(presence -> presence.crashIds().removeAll(explained));
            next = mostPresent(unexplained);
        }
        return blamed;
    }

    /**
     * Returns the content at the most crashes; among equals the one with the larger count, then a prompt part, which
     * explains the crashes by different requests.
     */
    private static Optional<Map.Entry<Fingerprint, Presence>> mostPresent(Map<Fingerprint, Presence> unexplained) {
        return unexplained.entrySet().stream()
                .filter(entry -> entry.getValue().crashIds().size() >= MINIMUM_CRASHES)
                .max(Comparator.<Map.Entry<Fingerprint, Presence>>comparingInt(
                                entry -> entry.getValue().crashIds().size())
                        .thenComparing(entry -> entry.getValue().count())
                        .thenComparing(entry -> entry.getKey().isPromptPart())
                        .thenComparing(entry -> entry.getKey().value()));
    }
}
