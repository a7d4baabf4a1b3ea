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
 * Chooses a backend server for each ready call and keeps account of running attempts. A call that finds no server waits
 * in the section and is tried again when something changes; its deadline is the retry package's concern.
 *
 * <p>Stateless; its state is the {@link RoutingSection}. Used by the control thread only.
 */
public final class RoutingController implements Controller {
    /** Up to this many servers, all are compared; above, a sample. */
    private static final int COMPARE_ALL = 64;

    private static final int SAMPLE = 8;

    /** Draws for a sample, so that a list full of servers without a lease costs a bounded time. */
    private static final int SAMPLE_DRAWS = 32;

    private static final long SYNCHRONISE_NANOS = 1_000_000_000;

    /** Engines used within this time are asked for their cache events. */
    private static final long CACHE_INTEREST_NANOS = 10_000_000_000L;

    /** Engines asked for cache events in each second. */
    private static final int CACHE_QUESTIONS = 16;

    /** An attempt whose end is not reported this long after its deadline is given up, so that it holds no slot. */
    private static final long LOST_ATTEMPT_NANOS = 60_000_000_000L;

    private RoutingController() {}

    /** Returns a controller. */
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
            retryWaiting(board, nowNanos, effects);
        }
        placeReady(board, nowNanos, effects);
    }

    private static void placeReady(Board board, long nowNanos, Effects effects) {
        CallEntry entry = board.calls().pollReady();
        while (entry != null) {
            placeOrWait(entry, board, nowNanos, effects);
            entry = board.calls().pollReady();
        }
    }

    private static void retryWaiting(Board board, long nowNanos, Effects effects) {
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
        boolean held = board.retry().holds(call.id(), nowNanos)
                || board.quarantine().holds(call.fingerprint(), board.wallClockMillis())
                || nowNanos - call.deadlineNanos() >= 0;
        Choice choice = held ? null : choose(call, board, nowNanos);
        if (choice == null) {
            board.routing().waiting().add(entry);
        } else {
            start(entry, choice, board, nowNanos, effects);
        }
    }

    private static void start(CallEntry entry, Choice choice, Board board, long nowNanos, Effects effects) {
        Call call = entry.call();
        ServerTrack track = choice.track();
        AttemptId attempt = entry.nextAttempt();
        boolean suspect = board.quarantine().isSuspect(call.fingerprint(), board.wallClockMillis());
        board.routing().putPlacement(Placement.create(attempt, call, track, choice.cachedTokens(), suspect, nowNanos));
        track.entry().attemptStarted();
        track.setLastUsedNanos(nowNanos);
        if (suspect) {
            track.setRunsSuspect(true);
            effects.count("quarantine.suspects_run_alone");
        }
        int resume = countRecomputed(entry, choice, board, effects);
        board.calls()
                .advance(entry, new CallState.Running(attempt, track.entry().server(), nowNanos));
        effects.add(new AttemptEffect.StartAttempt(
                attempt,
                call,
                track.entry().server(),
                track.entry().announcement().address(),
                answerHandling(call, board),
                priority(call, board),
                call.deadlineNanos(),
                resume,
                silenceLimitMillis(call, board)));
        if (track.hintsStale()) {
            askForCache(track, nowNanos, effects);
        }
    }

    /** Returns the tokens that the new attempt starts from; counts what it has to compute a second time. */
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
        String reason = board.retry().reasonToRecompute(entry.call().id());
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
                : new AnswerHandling.Collect(board.settings().bounds().maximumAnswerBytes());
    }

    /** Returns the number of ranks with less worth, so that engines run the more worthy rank first. */
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
        List<ServerTrack> servers = section.servers(destination);
        Map<ServerId, Integer> held = section.hints().heldBlocks(prefixBlocks(call.kind()));
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
        LearnedSpeed mean = section.mean(destination);
        @Nullable Choice best = null;
        double bestCost = Double.MAX_VALUE;
        for (ServerTrack track : candidates(servers, held, board, nowNanos)) {
            if (!track.entry().acceptsNewWork(nowNanos)
                    || track.runsSuspect()
                    || (suspect && track.load() > 0)
                    || board.retry().avoids(call.id(), track.entry().server(), nowNanos)) {
                continue;
            }
            int cached = track.hintsStale() ? 0 : cachedTokens(call.kind(), held, track);
            double cost = costs.on(track, track.speed(destination, mean), cached);
            if (cost < bestCost) {
                bestCost = cost;
                best = new Choice(track, cached);
            }
        }
        return best;
    }

    private static Iterable<ServerTrack> candidates(
            List<ServerTrack> servers, Map<ServerId, Integer> held, Board board, long nowNanos) {
        if (servers.size() <= COMPARE_ALL) {
            return servers;
        }
        Set<ServerTrack> candidates = new LinkedHashSet<>();
        for (int draw = 0; draw < SAMPLE_DRAWS && candidates.size() < SAMPLE; draw++) {
            ServerTrack track = servers.get(board.random().nextInt(servers.size()));
            if (track.entry().acceptsNewWork(nowNanos)) {
                candidates.add(track);
            }
        }
        for (ServerId server : held.keySet()) {
            ServerTrack track = board.routing().track(server);
            if (track != null) {
                candidates.add(track);
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

    private static int cachedTokens(CallKind kind, Map<ServerId, Integer> held, ServerTrack track) {
        Integer blocks = held.get(track.entry().server());
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
                        .placement(first.attempt())
                        .ifPresent(placement -> learnFirst(placement, board, nowNanos));
                yield false;
            }
            case AttemptEvent.TokensReceived tokens -> {
                board.routing()
                        .placement(tokens.attempt())
                        .ifPresent(placement -> placement.addTokens(tokens.tokens()));
                yield false;
            }
            case AttemptEvent.AttemptCompleted completed -> {
                Placement placement = end(completed.attempt(), board);
                if (placement != null) {
                    learnWhole(placement, completed.tokens(), board, nowNanos);
                }
                yield placement != null;
            }
            case AttemptEvent.AttemptFailed failed -> end(failed.attempt(), board) != null;
        };
    }

    private static @Nullable Placement end(AttemptId attempt, Board board) {
        Placement placement = board.routing().removePlacement(attempt);
        if (placement != null) {
            placement.entry().attemptEnded();
            if (placement.suspect()) {
                placement.track().setRunsSuspect(false);
            }
        }
        return placement;
    }

    private static void learnFirst(Placement placement, Board board, long nowNanos) {
        if (placement.firstTokenNanos() != Long.MIN_VALUE) {
            return;
        }
        placement.setFirstTokenNanos(nowNanos);
        ServerTrack track = placement.track();
        CallKind kind = placement.call().kind();
        if (!track.hintsStale()) {
            board.routing().hints().stored(track.entry().server(), prefixBlocks(kind));
        }
        int prompt =
                switch (kind) {
                    case CallKind.Model model -> model.promptTokens();
                    case CallKind.LongWork work -> work.model().promptTokens();
                    case CallKind.Service service -> 0;
                    case CallKind.Order order -> 0;
                };
        int computed = prompt - placement.cachedTokens();
        if (prompt > 0 && placement.startedWithFreeSlot() && computed >= prompt / 2) {
            double millis = (nowNanos - placement.startedNanos()) / 1e6 / Math.max(1, computed);
            LearnedSpeed mean = board.routing().mean(placement.destination());
            track.speed(placement.destination(), mean).learnPrefill(millis);
            mean.learnPrefill(millis);
        }
    }

    private static void learnWhole(Placement placement, int tokens, Board board, long nowNanos) {
        LearnedSpeed mean = board.routing().mean(placement.destination());
        LearnedSpeed speed = placement.track().speed(placement.destination(), mean);
        switch (placement.destination()) {
            case Destination.Engines engines -> {
                if (placement.firstTokenNanos() != Long.MIN_VALUE && tokens > 1) {
                    double millis = (nowNanos - placement.firstTokenNanos()) / 1e6 / (tokens - 1);
                    speed.learnDecode(millis);
                    mean.learnDecode(millis);
                }
            }
            case Destination.Services services -> {
                if (placement.startedWithFreeSlot()) {
                    double millis = (nowNanos - placement.startedNanos()) / 1e6;
                    speed.learnService(millis);
                    mean.learnService(millis);
                }
            }
        }
    }

    private static boolean handleServer(ServerEvent event, Board board, long nowNanos, Effects effects) {
        return switch (event) {
            case ServerEvent.ServerAnnounced announced -> {
                index(announced.announcement().server(), board);
                yield true;
            }
            case ServerEvent.ProbeFinished finished -> true;
            case ServerEvent.CacheChanged cache -> {
                changeHints(cache, board, nowNanos, effects);
                yield false;
            }
            case ServerEvent.EngineOrderAnswered answered -> false;
        };
    }

    private static boolean handlePeer(PeerEvent event, Board board) {
        if (event instanceof PeerEvent.PeerMessageReceived received
                && received.message() instanceof PeerMessage.ServerLeases leases) {
            for (ServerLease lease : leases.leases()) {
                index(lease.announcement().server(), board);
            }
            return true;
        }
        return false;
    }

    private static boolean handleTimer(Board board, long nowNanos, Effects effects) {
        RoutingSection section = board.routing();
        if (section.synchroniseDue(nowNanos, SYNCHRONISE_NANOS)) {
            for (ServerTrack track : List.copyOf(section.tracks())) {
                if (board.servers().server(track.entry().server()).isEmpty()) {
                    section.removeTrack(track);
                }
            }
            for (ServerEntry entry : board.servers().servers()) {
                index(entry.server(), board);
            }
            List<AttemptId> lost = section.placements().stream()
                    .filter(placement -> nowNanos - placement.call().deadlineNanos() > LOST_ATTEMPT_NANOS)
                    .map(Placement::attempt)
                    .toList();
            for (AttemptId attempt : lost) {
                end(attempt, board);
                effects.count("routing.attempts_without_end");
            }
            askForCaches(board, nowNanos, effects);
        }
        return true;
    }

    private static void index(ServerId server, Board board) {
        ServerEntry entry = board.servers().server(server).orElse(null);
        if (entry == null) {
            return;
        }
        ServerTrack track = board.routing().track(server);
        if (track == null) {
            track = ServerTrack.create(entry);
        }
        track.refresh(entry);
        board.routing().putTrack(track, destinations(entry));
    }

    private static Set<Destination> destinations(ServerEntry entry) {
        return switch (entry.announcement().kind()) {
            case ServerKind.ModelEngine engine ->
                engine.models().stream().map(Destination.Engines::new).collect(Collectors.toUnmodifiableSet());
            case ServerKind.PlainService plain ->
                plain.routes().stream().map(Destination.Services::new).collect(Collectors.toUnmodifiableSet());
        };
    }

    private static void changeHints(ServerEvent.CacheChanged event, Board board, long nowNanos, Effects effects) {
        ServerTrack track = board.routing().track(event.server());
        if (track == null) {
            return;
        }
        PrefixHints hints = board.routing().hints();
        if (event.whole()) {
            hints.forget(event.server());
            hints.stored(event.server(), event.stored());
            track.setCachePosition(event.incarnation(), event.lastSequence());
            track.setHintsStale(false);
            return;
        }
        boolean sameProcess = event.incarnation() == track.cacheIncarnation();
        if (track.hintsStale() || (sameProcess && event.lastSequence() <= track.cacheSequence())) {
            return;
        }
        if (!sameProcess || event.firstSequence() > track.cacheSequence() + 1) {
            hints.forget(event.server());
            track.setHintsStale(true);
            effects.count("routing.cache_event_gaps");
            askForCache(track, nowNanos, effects);
            return;
        }
        hints.stored(event.server(), event.stored());
        hints.evicted(event.server(), event.evicted());
        track.setCachePosition(event.incarnation(), event.lastSequence());
    }

    private static void askForCaches(Board board, long nowNanos, Effects effects) {
        board.routing().tracks().stream()
                .filter(track -> track.lastUsedNanos() != Long.MIN_VALUE
                        && nowNanos - track.lastUsedNanos() < CACHE_INTEREST_NANOS
                        && track.entry().acceptsNewWork(nowNanos))
                .sorted(Comparator.comparingLong(ServerTrack::cacheAskedNanos))
                .limit(CACHE_QUESTIONS)
                .forEach(track -> askForCache(track, nowNanos, effects));
    }

    private static void askForCache(ServerTrack track, long nowNanos, Effects effects) {
        boolean engine = track.entry().announcement().kind() instanceof ServerKind.ModelEngine;
        boolean askedJustNow =
                track.cacheAskedNanos() != Long.MIN_VALUE && nowNanos - track.cacheAskedNanos() < SYNCHRONISE_NANOS / 2;
        if (engine && !askedJustNow) {
            track.setCacheAskedNanos(nowNanos);
            effects.add(new ServerEffect.FetchCacheEvents(
                    track.entry().server(),
                    track.entry().announcement().address(),
                    track.entry().announcement().incarnation(),
                    track.hintsStale() ? 0 : track.cacheSequence()));
        }
    }

    /** A server for a call, with the tokens of the prompt that it is believed to hold. */
    private record Choice(ServerTrack track, int cachedTokens) {}
}
