package org.plantainwharf.front;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.board.BoardView;
import org.plantainwharf.call.Call;
import org.plantainwharf.call.CallKind;
import org.plantainwharf.call.Content;
import org.plantainwharf.call.Origin;
import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.identity.IdempotencyKey;
import org.plantainwharf.identity.ModelName;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.record.Digests;
import org.plantainwharf.sheet.ClientAccount;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Route;
import org.plantainwharf.sheet.Sheet;
import org.plantainwharf.sheet.SheetDigest;

/**
 * Turns a caller's request into an event, or says what is wrong with it. The only place that knows both the caller
 * interface and {@link Call}.
 *
 * <p>Thread-safe. The accounts by key are cached for one sheet, and a sheet is immutable.
 */
final class CallIntake {
    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final String SCHEME = "Bearer ";
    private static final int MAXIMUM_KEY_LENGTH = 200;
    private static final int BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_TOKENS = 512;
    private static final int MAXIMUM_TOKENS = 1_000_000;

    private volatile @Nullable AccountsByKey accountsByKey;

    private record AccountsByKey(Sheet sheet, Map<String, ClientAccount> accounts) {}

    /** What was checked before the body was read. */
    record Checked(CallTarget target, ClientAccount account, Optional<Rank> rank, Optional<Route> route) {}

    private CallIntake() {}

    static CallIntake create() {
        return new CallIntake();
    }

    /** Checks everything that does not need the body, so that a stranger cannot make this host read one. */
    Either<Failure, Checked> check(BoardView view, CallTarget target, CallerHeaders headers) {
        if (refusesCalls(view.drainPhase())) {
            return Either.left(Failure.of(ErrorKind.DRAINING));
        }
        if (view.sheet().isEmpty()) {
            return Either.left(Failure.of(ErrorKind.CONFIGURATION_MISSING));
        }
        Sheet sheet = view.sheet().get();
        return authenticate(sheet, headers).flatMap(account -> switch (target) {
            case CallTarget.WorkState state ->
                Either.right(new Checked(target, account, Optional.empty(), Optional.empty()));
            case CallTarget.Health health ->
                Either.right(new Checked(target, account, Optional.empty(), Optional.empty()));
            case CallTarget.Chat chat -> withRank(sheet, target, account, headers, Optional.empty());
            case CallTarget.Work work -> withRank(sheet, target, account, headers, Optional.empty());
            case CallTarget.Service service -> withRoute(sheet, service, account, headers);
        });
    }

    private static boolean refusesCalls(DrainPhase phase) {
        return switch (phase) {
            case DrainPhase.Serving serving -> false;
            case DrainPhase.Announcing announcing -> false;
            case DrainPhase.Finishing finishing -> true;
            case DrainPhase.Finished finished -> true;
        };
    }

    private Either<Failure, ClientAccount> authenticate(Sheet sheet, CallerHeaders headers) {
        String value = headers.authorization().orElse("");
        if (!value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Either.left(Failure.of(ErrorKind.UNAUTHENTICATED));
        }
        String key = value.substring(SCHEME.length()).trim();
        @Nullable ClientAccount account = accounts(sheet).get(SheetDigest.ofKey(key));
        return account == null ? Either.left(Failure.of(ErrorKind.UNAUTHENTICATED)) : Either.right(account);
    }

    private Map<String, ClientAccount> accounts(Sheet sheet) {
        @Nullable AccountsByKey cached = accountsByKey;
        if (cached == null || cached.sheet() != sheet) {
            Map<String, ClientAccount> byKey = new HashMap<>();
            sheet.accounts().values().forEach(account -> byKey.put(account.keyDigest(), account));
            cached = new AccountsByKey(sheet, Map.copyOf(byKey));
            accountsByKey = cached;
        }
        return cached.accounts();
    }

    private static Either<Failure, Checked> withRoute(
            Sheet sheet, CallTarget.Service service, ClientAccount account, CallerHeaders headers) {
        @Nullable Route route = sheet.routes().get(service.route());
        if (route == null) {
            return Either.left(Failure.of(
                    ErrorKind.UNKNOWN_ROUTE, Texts.shorten(service.route().value())));
        }
        if (headers.idempotencyKey().isEmpty() && !route.repeatable()) {
            return Either.left(
                    Failure.of(ErrorKind.IDEMPOTENCY_KEY_MISSING, route.name().value()));
        }
        if (headers.idempotencyKey().isPresent()
                && !isKey(headers.idempotencyKey().get())) {
            return Either.left(Failure.of(ErrorKind.IDEMPOTENCY_KEY_INVALID));
        }
        return withRank(sheet, service, account, headers, Optional.of(route));
    }

    private static boolean isKey(String text) {
        return !text.isEmpty()
                && text.length() <= MAXIMUM_KEY_LENGTH
                && text.chars().allMatch(value -> value > ' ' && value < 0x7f);
    }

    private static Either<Failure, Checked> withRank(
            Sheet sheet, CallTarget target, ClientAccount account, CallerHeaders headers, Optional<Route> route) {
        Optional<RankName> named =
                headers.rank().filter(text -> !text.isBlank()).map(RankName::of);
        Optional<Rank> rank = named.or(() -> route.map(Route::rank))
                .map(name -> Optional.ofNullable(sheet.ranks().get(name)))
                .orElseGet(() -> leastUrgent(sheet, account));
        return rank.filter(present -> account.ranks().contains(present.name()))
                .<Either<Failure, Checked>>map(
                        present -> Either.right(new Checked(target, account, Optional.of(present), route)))
                .orElseGet(() -> Either.left(Failure.of(
                        ErrorKind.RANK_NOT_ALLOWED,
                        Texts.shorten(headers.rank()
                                .orElse(rank.map(present -> present.name().value())
                                        .orElse("(none)"))))));
    }

    /** A caller who wants urgency names it: without a rank, a model call gets the account's longest latency target. */
    private static Optional<Rank> leastUrgent(Sheet sheet, ClientAccount account) {
        return account.ranks().stream()
                .flatMap(name -> Optional.ofNullable(sheet.ranks().get(name)).stream())
                .max(Comparator.comparingLong(Rank::latencyTargetMillis)
                        .thenComparing(rank -> rank.name().value()));
    }

    /** Makes the event for a request whose body was read. */
    Either<Failure, CallEvent> read(RequestId id, Checked checked, CallerHeaders headers, byte[] body, long nowNanos) {
        return switch (checked.target()) {
            case CallTarget.WorkState state ->
                Either.right(new CallEvent.WorkAsked(id, checked.account().name(), state.work(), state.wantsAnswer()));
            case CallTarget.Chat chat ->
                modelCall(body, true).map(kind -> arrived(id, checked, kind, json(body), nowNanos));
            case CallTarget.Work work ->
                modelCall(body, false)
                        .map(kind -> arrived(id, checked, new CallKind.LongWork(kind), json(body), nowNanos));
            case CallTarget.Service service -> {
                Content content = Content.of(headers.mediaType().orElse("application/octet-stream"), body);
                yield Either.right(arrived(id, checked, serviceCall(checked, service, headers), content, nowNanos));
            }
            case CallTarget.Health health -> Either.left(Failure.of(ErrorKind.INTERNAL_ERROR));
        };
    }

    private static Content json(byte[] body) {
        return Content.of("application/json", body);
    }

    private static CallKind serviceCall(Checked checked, CallTarget.Service service, CallerHeaders headers) {
        boolean repeatable = checked.route().map(Route::repeatable).orElse(false);
        return repeatable
                ? new CallKind.Service(service.route())
                : new CallKind.Order(
                        service.route(),
                        IdempotencyKey.of(headers.idempotencyKey().orElseThrow()));
    }

    private static CallEvent arrived(RequestId id, Checked checked, CallKind kind, Content content, long nowNanos) {
        Rank rank = checked.rank().orElseThrow();
        return new CallEvent.CallArrived(new Call(
                id,
                checked.account().name(),
                rank.name(),
                kind,
                content,
                Digests.fingerprint(checked.account().name(), content),
                new Origin.Caller(),
                nowNanos,
                nowNanos + TimeUnit.MILLISECONDS.toNanos(rank.deadlineMillis())));
    }

    private static Either<Failure, CallKind.Model> modelCall(byte[] body, boolean mayStream) {
        JsonNode root;
        try {
            root = JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(ErrorKind.MALFORMED_JSON, Texts.shorten(e.getOriginalMessage())));
        } catch (java.io.IOException e) {
            return Either.left(Failure.of(ErrorKind.MALFORMED_JSON, "it is not in UTF-8"));
        }
        Optional<String> problem = problemOf(root);
        if (problem.isPresent()) {
            return Either.left(Failure.of(ErrorKind.REQUEST_INVALID, problem.get()));
        }
        byte[] prompt = PrefixBlocks.prompt(root.get("messages"));
        return Either.right(new CallKind.Model(
                ModelName.of(root.get("model").asText()),
                Math.max(1, prompt.length / BYTES_PER_TOKEN),
                root.path("max_tokens").asInt(DEFAULT_TOKENS),
                PrefixBlocks.hashes(prompt),
                mayStream && root.path("stream").asBoolean(false)));
    }

    private static Optional<String> problemOf(JsonNode root) {
        if (!root.isObject()) {
            return Optional.of("the body must be an object");
        }
        if (!root.path("model").isTextual() || root.path("model").asText().isBlank()) {
            return Optional.of("model must be a text");
        }
        if (!root.path("messages").isArray() || root.path("messages").isEmpty()) {
            return Optional.of("messages must be a list with at least one entry");
        }
        for (JsonNode message : root.path("messages")) {
            JsonNode content = message.path("content");
            if (!message.path("role").isTextual() || !(content.isTextual() || content.isArray())) {
                return Optional.of("each message needs role and content");
            }
        }
        JsonNode tokens = root.path("max_tokens");
        if (!tokens.isMissingNode() && !(tokens.isInt() && tokens.asInt() >= 1 && tokens.asInt() <= MAXIMUM_TOKENS)) {
            return Optional.of("max_tokens must be a whole number from 1 to " + MAXIMUM_TOKENS);
        }
        JsonNode stream = root.path("stream");
        return stream.isMissingNode() || stream.isBoolean()
                ? Optional.empty()
                : Optional.of("stream must be true or false");
    }
}
