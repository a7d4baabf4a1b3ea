package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.document.ServiceRule;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.keptpart.KeptPartSection;
import org.plantainwharf.keptpart.Retention;
import org.plantainwharf.observation.Digest;
import org.plantainwharf.observation.ServerStart;

/**
 * What servers probably keep of the prompt of one request, as time: what is kept is not processed again, and is weighed
 * against the wait there. Services whose document states the memory of an engine use what all daemons know of kept parts;
 * others use the requests of this daemon and a fixed share at one server. Used on the control thread while one event is
 * handled.
 */
final class KeptPartEstimate {
    /** Fraction of the shared parts that the first home is assumed to keep where nothing is known of it. */
    private static final double FIRST_HOME_PRIOR = 0.5;

    /** Time after its start until the first home is assumed to keep parts; daemons have sent it some requests by then. */
    private static final double PRIOR_DELAY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** The same where daemons do not share what they know. */
    private static final double UNSHARED_PRIOR = 0.7;

    /** Shared parts with fewer tokens than this are cheaper to process again than to queue for. */
    private static final long MINIMUM_SHARED_TOKENS = 256;

    private final Optional<PromptShape> prompt;
    private final EngineProfile profile;
    private final KeptPartSection section;
    private final Optional<Retention> retention;
    private final long[] digests;
    private final long sharedTokens;
    private Optional<ServerSelector.Candidate> firstHome = Optional.empty();

    private KeptPartEstimate(
            Optional<PromptShape> prompt,
            EngineProfile profile,
            KeptPartSection section,
            Optional<Retention> retention) {
        this.prompt = prompt;
        this.profile = profile;
        this.section = section;
        this.retention = retention;
        List<PromptShape.Part> parts = prompt.map(PromptShape::parts).orElse(List.of());
        this.digests = parts.stream().mapToLong(part -> Digest.of(part.id())).toArray();
        this.sharedTokens = parts.stream()
                .limit(Math.max(0, parts.size() - 1))
                .mapToLong(PromptShape.Part::tokens)
                .sum();
    }

    /** Returns the estimate for a request, by what the document states of its service. */
    static KeptPartEstimate of(ForwardCall call, Board board) {
        EngineProfile profile = board.forward().engineProfile(call.service());
        OptionalLong memoryTokens = board.documents()
                .document()
                .map(document -> document.services().get(call.service()))
                .flatMap(ServiceRule::engine)
                .map(engine -> OptionalLong.of(engine.memoryCapacityTokens()))
                .orElse(OptionalLong.empty());
        boolean known = memoryTokens.isPresent()
                && memoryTokens.getAsLong() > 0
                && !board.observations().controls().isEmpty();
        return of(
                call.head().prompt(),
                profile,
                board.keptParts(),
                known ? Optional.of(profile.retention(memoryTokens.getAsLong())) : Optional.empty());
    }

    /**
     * Returns the estimate for a prompt.
     *
     * @param retention how long servers keep parts; empty if daemons do not share which parts they keep
     */
    static KeptPartEstimate of(
            Optional<PromptShape> prompt,
            EngineProfile profile,
            KeptPartSection section,
            Optional<Retention> retention) {
        return new KeptPartEstimate(prompt, profile, section, retention);
    }

    Optional<PromptShape> prompt() {
        return prompt;
    }

    /**
     * Returns the servers that are compared because they may keep the last shared part: those that used it last, and the first
     * home by rendezvous hashing, which is the same in every daemon. A server that is to be reclaimed is no first home: what
     * it would keep is lost soon.
     */
    List<ServerSelector.Candidate> homes(List<ServerSelector.Candidate> candidates) {
        if (sharedTokens < MINIMUM_SHARED_TOKENS) {
            return List.of();
        }
        String part = prompt.orElseThrow().parts().get(digests.length - 2).id();
        Set<ServerStart> keepers = retention.isPresent() ? section.keepers(digests[digests.length - 2]) : Set.of();
        List<ServerSelector.Candidate> homes = new ArrayList<>();
        long firstHash = Long.MIN_VALUE;
        for (ServerSelector.Candidate candidate : candidates) {
            long hash = ServerSelector.rendezvousHash(part, candidate.id().value());
            boolean leaves = candidate.server().report().millisUntilReclaim().isPresent();
            if (!leaves && (firstHome.isEmpty() || hash > firstHash)) {
                firstHash = hash;
                firstHome = Optional.of(candidate);
            }
            if (!keepers.isEmpty() && keepers.contains(candidate.statistics().start())) {
                homes.add(candidate);
            }
        }
        firstHome.ifPresent(homes::add);
        return homes;
    }

    /** Returns the prompt tokens that a server is expected to keep. */
    double keptTokens(ServerSelector.Candidate candidate, long nowNanos) {
        if (prompt.isEmpty()) {
            return 0;
        }
        PromptShape shape = prompt.get();
        boolean isFirstHome = firstHome.isPresent() && firstHome.get() == candidate;
        if (retention.isEmpty()) {
            double own = shape.inputTokens() - candidate.statistics().uncachedTokens(shape);
            return isFirstHome ? Math.max(own, UNSHARED_PRIOR * sharedTokens) : own;
        }
        double kept = 0;
        double likelihood = 1;
        for (int index = 0; index < digests.length && likelihood > 0; index++) {
            likelihood = Math.min(
                    likelihood,
                    section.likelihood(candidate.statistics().start(), digests[index], retention.get(), nowNanos));
            kept += likelihood * shape.parts().get(index).tokens();
        }
        return isFirstHome ? Math.max(kept, firstHomePrior(candidate, nowNanos) * sharedTokens) : kept;
    }

    /** Returns the assumed fraction; a server that has just started keeps nothing. */
    private static double firstHomePrior(ServerSelector.Candidate home, long nowNanos) {
        double startedNanos = nowNanos - home.server().firstReportNanos();
        return FIRST_HOME_PRIOR * Math.min(1, startedNanos / PRIOR_DELAY_NANOS);
    }

    /** Returns the prompt tokens that a server is expected to process. */
    long uncachedTokens(ServerSelector.Candidate candidate, long nowNanos) {
        return prompt.map(shape -> Math.max(0, shape.inputTokens() - Math.round(keptTokens(candidate, nowNanos))))
                .orElse(0L);
    }

    /** Returns the time until a server has processed the prompts that the request would find there, in milliseconds. */
    double waitMillis(ServerSelector.Candidate candidate, long nowNanos) {
        return prompt.isEmpty() ? 0 : candidate.statistics().queueMillis(profile, nowNanos);
    }

    /** Returns the time that a server takes for the part of the prompt that it does not keep, in milliseconds. */
    double processingMillis(ServerSelector.Candidate candidate, long nowNanos) {
        return prompt.map(shape -> candidate.statistics().millisPerToken(profile, nowNanos)
                        * Math.max(0, shape.inputTokens() - keptTokens(candidate, nowNanos)))
                .orElse(0.0);
    }

    /** Returns the time that a server saves by what it keeps, in milliseconds. */
    double savedMillis(ServerSelector.Candidate candidate, long nowNanos) {
        return candidate.statistics().millisPerToken(profile, nowNanos) * keptTokens(candidate, nowNanos);
    }

    /** Counts the tokens of a request that is sent to a server, and how many of them it is expected to keep. */
    void count(ServerSelector.Candidate candidate, long nowNanos, Effects effects) {
        if (retention.isPresent() && sharedTokens > 0) {
            effects.add(new CountEffect("forward.shared_prompt_tokens", sharedTokens));
            effects.add(new CountEffect("forward.expected_kept_tokens", Math.round(keptTokens(candidate, nowNanos))));
        }
    }
}
