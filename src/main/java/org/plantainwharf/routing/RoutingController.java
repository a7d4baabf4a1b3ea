package org.plantainwharf.routing;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.admission.Destination;
import org.plantainwharf.board.Board;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallEntry;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.CallState;
import org.plantainwharf.call.Origin;
import org.plantainwharf.control.Controller;
import org.plantainwharf.effect.AnswerHandling;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.DocumentEvent;
import org.plantainwharf.event.DutyEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.OperatorEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.PlatformEvent;
import org.plantainwharf.event.RegistryEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.RolloutEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ServerLease;
import org.plantainwharf.server.ServerEntry;
import org.plantainwharf.server.ServerKind;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Sheet;

/**
 * Chooses a backend server for each ready call and tracks the attempts in flight. A call for which no server can be
 * chosen waits in the section and is tried again when servers or attempts change. The retry package enforces its
 * deadline.
 *
 * <p>Stateless; its state is the {@link RoutingSection}. Used by the control thread only.
 */
public final class RoutingController implements Controller {
    /** Up to this number of servers, all are compared; beyond it, a random sample. */
    private static final int FULL_COMPARISON_LIMIT = 64;

    private static final int SAMPLE_SIZE = 8;

    /** Maximum draws for a sample; bounds the time spent on a list in which most servers have no valid lease. */
    private static final int SAMPLE_DRAWS = 32;

    private static final long SYNCHRONISATION_PERIOD_NANOS = 1_000_000_000;

    /** Cache events are fetched from engines that were used within this time. */
    private static final long CACHE_FETCH_WINDOW_NANOS = 10_000_000_000L;

    /** Maximum number of engines from which cache events are fetched in each period. */
    private static final int CACHE_FETCHES_PER_PERIOD = 16;

    /**
     * Time after its deadline at which an attempt without a reported end is removed, so that it does not occupy a slot
     * forever.
     */
    private static final long LOST_ATTEMPT_TIMEOUT_NANOS = 60_000_000_000L;

    private RoutingController() {}

    public static RoutingController create() {
        return new RoutingController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        boolean changed =
                switch (event) {
                    case CallEvent call -> false;
                    case AttemptEvent attempt -> handleAttempt(attempt, board, nowNanos);
                    case DocumentEvent ignored -> false;
                    case RolloutEvent ignored -> false;
                    case DutyEvent ignored -> false;
                    case ForwardEvent ignored -> false;
                    case RegistryEvent ignored -> false;
                    case ServerEvent server -> handleServer(server, board, nowNanos, effects);
                    case PeerEvent peer -> handlePeer(peer, board);
                    case TimerEvent timer -> handleTimer(board, nowNanos, effects);
                    case StorageEvent storage -> false;
                    case ReplicationEvent replication -> false;
                    case OperatorEvent operator -> false;
                    case PlatformEvent platform -> false;
                };
        if (changed) {
            retryWaitingCalls(board, nowNanos, effects);
        }
        placeReadyCalls(board, nowNanos, effects);
    }

    private static void placeReadyCalls(Board board, long nowNanos, Effects effects) {
        CallEntry entry = board.calls().pollReady();
        while (entry != null) {
            placeOrWait(entry, board, nowNanos, effects);
            entry = board.calls().pollReady();
        }
    }

    private static void retryWaitingCalls(Board board, long nowNanos, Effects effects) {
        int count = board.routing().waiting().size();
        for (int index = 0; index < count; index++) {
            CallEntry entry = board.routing().waiting().remove();
            boolean live = board.calls()
                    .call(entry.call().id())
                    .filter(current -> current == entry)
                    .isPresent();
            if (live && entry.state() instanceof CallState.Ready) {
                placeOrWait(entry, board, nowNanos, effects);
            }
        }
    }

    private static void placeOrWait(CallEntry entry, Board board, long nowNanos, Effects effects) {
        Call call = entry.call();
        boolean mustWait = board.retry().awaitsBudget(call.id(), nowNanos)
                || board.quarantine().mustWait(call.fingerprint(), board.wallClockMillis())
                || nowNanos - call.deadlineNanos() >= 0;
        Choice choice = mustWait ? null : choose(call, board, nowNanos);
        if (choice == null) {
            board.routing().waiting().add(entry);
        } else {
            start(entry, choice, board, nowNanos, effects);
        }
    }

    private static void start(CallEntry entry, Choice choice, Board board, long nowNanos, Effects effects) {
        Call call = entry.call();
        ServerRoutingState serverState = choice.serverState();
        AttemptId attempt = entry.nextAttempt();
        boolean suspect = board.quarantine().isSuspect(call.fingerprint(), board.wallClockMillis());
        board.routing()
                .putInFlightAttempt(
                        InFlightAttempt.create(attempt, call, serverState, choice.cachedTokens(), suspect, nowNanos));
        serverState.entry().attemptStarted();
        serverState.setLastUsedNanos(nowNanos);
        if (suspect) {
            serverState.setRunsSuspect(true);
            effects.count("quarantine.suspects_run_alone");
        }
        int resume = countRecomputed(entry, choice, board, effects);
        board.calls()
                .advance(
                        entry,
                        new CallState.Running(attempt, serverState.entry().server(), nowNanos));
        effects.add(new AttemptEffect.StartAttempt(
                attempt,
                call,
                serverState.entry().server(),
                serverState.entry().announcement().address(),
                answerHandling(call, board),
                priority(call, board),
                call.deadlineNanos(),
                resume,
                silenceLimitMillis(call, board)));
        if (serverState.hintsStale()) {
            fetchCacheEvents(serverState, nowNanos, effects);
        }
    }

    /**
     * Returns the number of tokens from which the new attempt resumes, and counts the tokens that it has to compute
     * again.
     */
    private static int countRecomputed(CallEntry entry, Choice choice, Board board, Effects effects) {
        return switch (entry.call().kind()) {
            case CallKind.Model model -> countRecomputed(entry, model, choice, board, effects);
            case CallKind.LongWork work -> countRecomputed(entry, work.model(), choice, board, effects);
            case CallKind.Service service -> 0;
            case CallKind.Order order -> 0;
        };
    }

    private static int countRecomputed(
            CallEntry entry, CallKind.Model model, Choice choice, Board board, Effects effects) {
        String reason = board.retry().recomputationReason(entry.call().id());
        if (reason != null) {
            int recomputed = Math.max(0, model.promptTokens() - choice.cachedTokens()) + entry.tokensReceived();
            effects.add(new CountEffect("tokens.recomputed." + reason, recomputed));
        }
        return entry.tokensReceived();
    }

    private static AnswerHandling answerHandling(Call call, Board board) {
        boolean streams =
                call.origin() instanceof Origin.Caller && call.kind() instanceof CallKind.Model model && model.stream();
        return streams
                ? new AnswerHandling.Stream()
                : new AnswerHandling.Buffer(board.settings().bounds().maximumAnswerBytes());
    }

    /** Returns the number of ranks of lower worth, so that engines run calls of higher worth first. */
    private static int priority(Call call, Board board) {
        Sheet sheet = board.configuration().inForce().orElse(null);
        Rank own = sheet == null ? null : sheet.ranks().get(call.rank());
        if (sheet == null || own == null) {
            return 0;
        }
        return (int) sheet.ranks().values().stream()
                .filter(rank -> rank.worth() < own.worth())
                .count();
    }

    private static long silenceLimitMillis(Call call, Board board) {
        boolean longWork = call.kind() instanceof CallKind.LongWork || call.origin() instanceof Origin.AcceptedWork;
        return longWork
                ? board.settings().timings().longSilenceMillis()
                : board.settings().timings().urgentSilenceMillis();
    }

    private static @Nullable Choice choose(Call call, Board board, long nowNanos) {
        RoutingSection section = board.routing();
        Destination destination = Destination.of(call.kind());
        List<ServerRoutingState> servers = section.servers(destination);
        Map<ServerId, Integer> cachedBlocks = section.hints().cachedBlocks(prefixBlocks(call.kind()));
        boolean suspect = board.quarantine().isSuspect(call.fingerprint(), board.wallClockMillis());
        @Nullable Sheet sheet = board.configuration().inForce().orElse(null);
        if (sheet == null) {
            return null;
        }
        RouteCost costs = RouteCost.of(
                call.kind(),
                sheet,
                sheet.ranks().get(call.rank()),
                board.settings().zone(),
                ActiveHosts.count(board.membership()));
        LatencyEstimate mean = section.meanEstimate(destination);
        @Nullable Choice best = null;
        double bestCost = Double.MAX_VALUE;
        for (ServerRoutingState serverState : candidates(servers, cachedBlocks, board, nowNanos)) {
            if (!serverState.entry().acceptsNewWork(nowNanos)
                    || serverState.runsSuspect()
                    || (suspect && serverState.load() > 0)
                    || board.retry().avoids(call.id(), serverState.entry().server(), nowNanos)) {
                continue;
            }
            int cachedTokens = serverState.hintsStale() ? 0 : cachedTokens(call.kind(), cachedBlocks, serverState);
            double cost = costs.costMillis(serverState, serverState.latencyEstimate(destination, mean), cachedTokens);
            if (cost < bestCost) {
                bestCost = cost;
                best = new Choice(serverState, cachedTokens);
            }
        }
        return best;
    }

    private static Iterable<ServerRoutingState> candidates(
            List<ServerRoutingState> servers, Map<ServerId, Integer> cachedBlocks, Board board, long nowNanos) {
        if (servers.size() <= FULL_COMPARISON_LIMIT) {
            return servers;
        }
        Set<ServerRoutingState> candidates = new LinkedHashSet<>();
        for (int draw = 0; draw < SAMPLE_DRAWS && candidates.size() < SAMPLE_SIZE; draw++) {
            ServerRoutingState serverState = servers.get(board.random().nextInt(servers.size()));
            if (serverState.entry().acceptsNewWork(nowNanos)) {
                candidates.add(serverState);
            }
        }
        for (ServerId server : cachedBlocks.keySet()) {
            ServerRoutingState serverState = board.routing().serverState(server);
            if (serverState != null) {
                candidates.add(serverState);
            }
        }
        return candidates;
    }

    private static List<Long> prefixBlocks(CallKind kind) {
        return switch (kind) {
            case CallKind.Model model -> model.prefixBlocks();
            case CallKind.LongWork work -> work.model().prefixBlocks();
            case CallKind.Service service -> List.of();
            case CallKind.Order order -> List.of();
        };
    }

    private static int cachedTokens(
            CallKind kind, Map<ServerId, Integer> cachedBlocks, ServerRoutingState serverState) {
        Integer blocks = cachedBlocks.get(serverState.entry().server());
        if (blocks == null) {
            return 0;
        }
        return switch (kind) {
            case CallKind.Model model -> cachedTokens(model, blocks);
            case CallKind.LongWork work -> cachedTokens(work.model(), blocks);
            case CallKind.Service service -> 0;
            case CallKind.Order order -> 0;
        };
    }

    private static int cachedTokens(CallKind.Model model, int blocks) {
        return (int)
                ((long) model.promptTokens() * blocks / model.prefixBlocks().size());
    }

    private static boolean handleAttempt(AttemptEvent event, Board board, long nowNanos) {
        return switch (event) {
            case AttemptEvent.AttemptSent sent -> false;
            case AttemptEvent.FirstTokenReceived first -> {
                board.routing()
                        .inFlightAttempt(first.attempt())
                        .ifPresent(inFlight -> recordFirstToken(inFlight, board, nowNanos));
                yield false;
            }
            case AttemptEvent.TokensReceived tokens -> {
                board.routing()
                        .inFlightAttempt(tokens.attempt())
                        .ifPresent(inFlight -> inFlight.addTokens(tokens.tokenCount()));
                yield false;
            }
            case AttemptEvent.AttemptCompleted completed -> {
                InFlightAttempt inFlight = removeAttempt(completed.attempt(), board);
                if (inFlight != null) {
                    recordCompletion(inFlight, completed.tokens(), board, nowNanos);
                }
                yield inFlight != null;
            }
            case AttemptEvent.AttemptFailed failed -> removeAttempt(failed.attempt(), board) != null;
        };
    }

    private static @Nullable InFlightAttempt removeAttempt(AttemptId attempt, Board board) {
        InFlightAttempt inFlight = board.routing().removeInFlightAttempt(attempt);
        if (inFlight != null) {
            inFlight.entry().attemptEnded();
            if (inFlight.suspect()) {
                inFlight.serverState().setRunsSuspect(false);
            }
        }
        return inFlight;
    }

    private static void recordFirstToken(InFlightAttempt inFlight, Board board, long nowNanos) {
        if (inFlight.firstTokenNanos() != Long.MIN_VALUE) {
            return;
        }
        inFlight.setFirstTokenNanos(nowNanos);
        ServerRoutingState serverState = inFlight.serverState();
        CallKind kind = inFlight.call().kind();
        if (!serverState.hintsStale()) {
            board.routing().hints().recordStored(serverState.entry().server(), prefixBlocks(kind));
        }
        int prompt =
                switch (kind) {
                    case CallKind.Model model -> model.promptTokens();
                    case CallKind.LongWork work -> work.model().promptTokens();
                    case CallKind.Service service -> 0;
                    case CallKind.Order order -> 0;
                };
        int computed = prompt - inFlight.cachedTokens();
        if (prompt > 0 && inFlight.startedWithFreeSlot() && computed >= prompt / 2) {
            double millis = (nowNanos - inFlight.startedNanos()) / 1e6 / Math.max(1, computed);
            LatencyEstimate mean = board.routing().meanEstimate(inFlight.destination());
            serverState.latencyEstimate(inFlight.destination(), mean).addPrefillSample(millis);
            mean.addPrefillSample(millis);
        }
    }

    private static void recordCompletion(InFlightAttempt inFlight, int tokens, Board board, long nowNanos) {
        LatencyEstimate mean = board.routing().meanEstimate(inFlight.destination());
        LatencyEstimate estimate = inFlight.serverState().latencyEstimate(inFlight.destination(), mean);
        switch (inFlight.destination()) {
            case Destination.Engines engines -> {
                if (inFlight.firstTokenNanos() != Long.MIN_VALUE && tokens > 1) {
                    double millis = (nowNanos - inFlight.firstTokenNanos()) / 1e6 / (tokens - 1);
                    estimate.addDecodeSample(millis);
                    mean.addDecodeSample(millis);
                }
            }
            case Destination.Services services -> {
                if (inFlight.startedWithFreeSlot()) {
                    double millis = (nowNanos - inFlight.startedNanos()) / 1e6;
                    estimate.addServiceSample(millis);
                    mean.addServiceSample(millis);
                }
            }
        }
    }

    private static boolean handleServer(ServerEvent event, Board board, long nowNanos, Effects effects) {
        return switch (event) {
            case ServerEvent.ServerAnnounced announced -> {
                indexServer(announced.announcement().server(), board);
                yield true;
            }
            case ServerEvent.ProbeFinished finished -> true;
            case ServerEvent.CacheChanged cache -> {
                updatePrefixHints(cache, board, nowNanos, effects);
                yield false;
            }
            case ServerEvent.EngineOrderAnswered answered -> false;
        };
    }

    private static boolean handlePeer(PeerEvent event, Board board) {
        if (event instanceof PeerEvent.PeerMessageReceived received
                && received.message() instanceof PeerMessage.ServerLeases leases) {
            for (ServerLease lease : leases.leases()) {
                indexServer(lease.announcement().server(), board);
            }
            return true;
        }
        return false;
    }

    private static boolean handleTimer(Board board, long nowNanos, Effects effects) {
        RoutingSection section = board.routing();
        if (section.startSynchronisationIfDue(nowNanos, SYNCHRONISATION_PERIOD_NANOS)) {
            for (ServerRoutingState serverState : List.copyOf(section.serverStates())) {
                if (board.servers().server(serverState.entry().server()).isEmpty()) {
                    section.removeServerState(serverState);
                }
            }
            for (ServerEntry entry : board.servers().servers()) {
                indexServer(entry.server(), board);
            }
            List<AttemptId> lost = section.inFlightAttempts().stream()
                    .filter(inFlight -> nowNanos - inFlight.call().deadlineNanos() > LOST_ATTEMPT_TIMEOUT_NANOS)
                    .map(InFlightAttempt::attempt)
                    .toList();
            for (AttemptId attempt : lost) {
                removeAttempt(attempt, board);
                effects.count("routing.attempts_without_end");
            }
            fetchDueCacheEvents(board, nowNanos, effects);
        }
        return true;
    }

    private static void indexServer(ServerId server, Board board) {
        ServerEntry entry = board.servers().server(server).orElse(null);
        if (entry == null) {
            return;
        }
        ServerRoutingState serverState = board.routing().serverState(server);
        if (serverState == null) {
            serverState = ServerRoutingState.create(entry);
        }
        serverState.refresh(entry);
        board.routing().putServerState(serverState, destinations(entry));
    }

    private static Set<Destination> destinations(ServerEntry entry) {
        return switch (entry.announcement().kind()) {
            case ServerKind.ModelEngine engine ->
                engine.models().stream().map(Destination.Engines::new).collect(Collectors.toUnmodifiableSet());
            case ServerKind.PlainService plain ->
                plain.routes().stream().map(Destination.Services::new).collect(Collectors.toUnmodifiableSet());
        };
    }

    private static void updatePrefixHints(ServerEvent.CacheChanged event, Board board, long nowNanos, Effects effects) {
        ServerRoutingState serverState = board.routing().serverState(event.server());
        if (serverState == null) {
            return;
        }
        PrefixHints hints = board.routing().hints();
        if (event.fullSnapshot()) {
            hints.removeServer(event.server());
            hints.recordStored(event.server(), event.stored());
            serverState.setCachePosition(event.incarnation(), event.lastSequence());
            serverState.setHintsStale(false);
            return;
        }
        boolean sameProcess = event.incarnation() == serverState.cacheIncarnation();
        if (serverState.hintsStale() || (sameProcess && event.lastSequence() <= serverState.cacheSequence())) {
            return;
        }
        if (!sameProcess || event.firstSequence() > serverState.cacheSequence() + 1) {
            hints.removeServer(event.server());
            serverState.setHintsStale(true);
            effects.count("routing.cache_event_gaps");
            fetchCacheEvents(serverState, nowNanos, effects);
            return;
        }
        hints.recordStored(event.server(), event.stored());
        hints.recordEvicted(event.server(), event.evicted());
        serverState.setCachePosition(event.incarnation(), event.lastSequence());
    }

    private static void fetchDueCacheEvents(Board board, long nowNanos, Effects effects) {
        board.routing().serverStates().stream()
                .filter(serverState -> serverState.lastUsedNanos() != Long.MIN_VALUE
                        && nowNanos - serverState.lastUsedNanos() < CACHE_FETCH_WINDOW_NANOS
                        && serverState.entry().acceptsNewWork(nowNanos))
                .sorted(Comparator.comparingLong(ServerRoutingState::cacheRequestedNanos))
                .limit(CACHE_FETCHES_PER_PERIOD)
                .forEach(serverState -> fetchCacheEvents(serverState, nowNanos, effects));
    }

    private static void fetchCacheEvents(ServerRoutingState serverState, long nowNanos, Effects effects) {
        boolean engine = serverState.entry().announcement().kind() instanceof ServerKind.ModelEngine;
        boolean recentlyRequested = serverState.cacheRequestedNanos() != Long.MIN_VALUE
                && nowNanos - serverState.cacheRequestedNanos() < SYNCHRONISATION_PERIOD_NANOS / 2;
        if (engine && !recentlyRequested) {
            serverState.setCacheRequestedNanos(nowNanos);
            effects.add(new ServerEffect.FetchCacheEvents(
                    serverState.entry().server(),
                    serverState.entry().announcement().address(),
                    serverState.entry().announcement().incarnation(),
                    serverState.hintsStale() ? 0 : serverState.cacheSequence()));
        }
    }

    /** A server for a call, with the number of prompt tokens that it is assumed to have cached. */
    private record Choice(ServerRoutingState serverState, int cachedTokens) {}
}
