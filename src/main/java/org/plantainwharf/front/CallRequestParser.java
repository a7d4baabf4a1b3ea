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
 * Authenticates, authorizes and parses callers' requests. The only class that knows both the HTTP interface for callers
 * and {@link Call}, so that decisions do not depend on how requests are encoded.
 *
 * <p>Thread-safe. The index of accounts by key digest is cached for the latest sheet, which is immutable.
 */
final class CallRequestParser {
    private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final String BEARER_SCHEME = "Bearer ";
    private static final int MAXIMUM_IDEMPOTENCY_KEY_LENGTH = 200;
    private static final int ESTIMATED_BYTES_PER_TOKEN = 4;
    private static final int DEFAULT_MAXIMUM_TOKENS = 512;
    private static final int MAXIMUM_TOKENS = 1_000_000;

    private volatile @Nullable AccountsByKey accountsByKey;

    private record AccountsByKey(Sheet sheet, Map<String, ClientAccount> accounts) {}

    /**
     * A request that was authorized before its body is read. Immutable.
     *
     * @param rank empty for targets that do not create a call
     * @param route present for calls to plain services only
     */
    record AuthorizedRequest(CallTarget target, ClientAccount account, Optional<Rank> rank, Optional<Route> route) {}

    private CallRequestParser() {}

    static CallRequestParser create() {
        return new CallRequestParser();
    }

    /** Performs all checks that do not need the body, so that the body of an unauthorized request is not read. */
    Either<Failure, AuthorizedRequest> authorize(BoardView view, CallTarget target, CallerHeaders headers) {
        if (refusesCalls(view.drainPhase())) {
            return Either.left(Failure.of(ErrorKind.DRAINING));
        }
        if (view.sheet().isEmpty()) {
            return Either.left(Failure.of(ErrorKind.CONFIGURATION_MISSING));
        }
        Sheet sheet = view.sheet().get();
        return authenticate(sheet, headers).flatMap(account -> switch (target) {
            case CallTarget.WorkState state ->
                Either.right(new AuthorizedRequest(target, account, Optional.empty(), Optional.empty()));
            case CallTarget.Health health ->
                Either.right(new AuthorizedRequest(target, account, Optional.empty(), Optional.empty()));
            case CallTarget.Chat chat -> authorizeRank(sheet, target, account, headers, Optional.empty());
            case CallTarget.Work work -> authorizeRank(sheet, target, account, headers, Optional.empty());
            case CallTarget.Service service -> authorizeRoute(sheet, service, account, headers);
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
        if (!value.regionMatches(true, 0, BEARER_SCHEME, 0, BEARER_SCHEME.length())) {
            return Either.left(Failure.of(ErrorKind.UNAUTHENTICATED));
        }
        String key = value.substring(BEARER_SCHEME.length()).trim();
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

    private static Either<Failure, AuthorizedRequest> authorizeRoute(
            Sheet sheet, CallTarget.Service service, ClientAccount account, CallerHeaders headers) {
        @Nullable Route route = sheet.routes().get(service.route());
        if (route == null) {
            return Either.left(Failure.of(
                    ErrorKind.UNKNOWN_ROUTE,
                    ExternalText.sanitize(service.route().value())));
        }
        if (headers.idempotencyKey().isEmpty() && !route.repeatable()) {
            return Either.left(
                    Failure.of(ErrorKind.IDEMPOTENCY_KEY_MISSING, route.name().value()));
        }
        if (headers.idempotencyKey().isPresent()
                && !isValidIdempotencyKey(headers.idempotencyKey().get())) {
            return Either.left(Failure.of(ErrorKind.IDEMPOTENCY_KEY_INVALID));
        }
        return authorizeRank(sheet, service, account, headers, Optional.of(route));
    }

    private static boolean isValidIdempotencyKey(String text) {
        return !text.isEmpty()
                && text.length() <= MAXIMUM_IDEMPOTENCY_KEY_LENGTH
                && text.chars().allMatch(value -> value > ' ' && value < 0x7f);
    }

    private static Either<Failure, AuthorizedRequest> authorizeRank(
            Sheet sheet, CallTarget target, ClientAccount account, CallerHeaders headers, Optional<Route> route) {
        Optional<RankName> requested =
                headers.rank().filter(text -> !text.isBlank()).map(RankName::of);
        Optional<Rank> rank = requested
                .or(() -> route.map(Route::rank))
                .map(name -> Optional.ofNullable(sheet.ranks().get(name)))
                .orElseGet(() -> leastUrgent(sheet, account));
        return rank.filter(present -> account.ranks().contains(present.name()))
                .<Either<Failure, AuthorizedRequest>>map(
                        present -> Either.right(new AuthorizedRequest(target, account, Optional.of(present), route)))
                .orElseGet(() -> Either.left(Failure.of(
                        ErrorKind.RANK_NOT_ALLOWED,
                        ExternalText.sanitize(headers.rank()
                                .orElse(rank.map(present -> present.name().value())
                                        .orElse("(none)"))))));
    }

    /**
     * Returns the account's rank with the longest latency target. It is the default for model calls, so that a call is
     * urgent only if its caller asks for it.
     */
    private static Optional<Rank> leastUrgent(Sheet sheet, ClientAccount account) {
        return account.ranks().stream()
                .flatMap(name -> Optional.ofNullable(sheet.ranks().get(name)).stream())
                .max(Comparator.comparingLong(Rank::latencyTargetMillis)
                        .thenComparing(rank -> rank.name().value()));
    }

    /**
     * Parses the body of an authorized request into an event.
     *
     * @param nowNanos arrival time on the monotonic clock; the deadline is counted from it
     */
    Either<Failure, CallEvent> parse(
            RequestId id, AuthorizedRequest authorized, CallerHeaders headers, byte[] body, long nowNanos) {
        return switch (authorized.target()) {
            case CallTarget.WorkState state ->
                Either.right(
                        new CallEvent.WorkAsked(id, authorized.account().name(), state.work(), state.includeAnswer()));
            case CallTarget.Chat chat ->
                modelCall(body, true).map(kind -> callArrived(id, authorized, kind, jsonContent(body), nowNanos));
            case CallTarget.Work work ->
                modelCall(body, false)
                        .map(kind ->
                                callArrived(id, authorized, new CallKind.LongWork(kind), jsonContent(body), nowNanos));
            case CallTarget.Service service -> {
                Content content = Content.of(headers.mediaType().orElse("application/octet-stream"), body);
                yield Either.right(
                        callArrived(id, authorized, serviceCall(authorized, service, headers), content, nowNanos));
            }
            // Not reached: the front end answers health checks before it parses a request.
            case CallTarget.Health health -> Either.left(Failure.of(ErrorKind.INTERNAL_ERROR));
        };
    }

    private static Content jsonContent(byte[] body) {
        return Content.of("application/json", body);
    }

    private static CallKind serviceCall(
            AuthorizedRequest authorized, CallTarget.Service service, CallerHeaders headers) {
        boolean repeatable = authorized.route().map(Route::repeatable).orElse(false);
        return repeatable
                ? new CallKind.Service(service.route())
                : new CallKind.Order(
                        service.route(),
                        IdempotencyKey.of(headers.idempotencyKey().orElseThrow()));
    }

    private static CallEvent callArrived(
            RequestId id, AuthorizedRequest authorized, CallKind kind, Content content, long nowNanos) {
        Rank rank = authorized.rank().orElseThrow();
        return new CallEvent.CallArrived(new Call(
                id,
                authorized.account().name(),
                rank.name(),
                kind,
                content,
                Digests.fingerprint(authorized.account().name(), content),
                new Origin.Caller(),
                nowNanos,
                nowNanos + TimeUnit.MILLISECONDS.toNanos(rank.deadlineMillis())));
    }

    private static Either<Failure, CallKind.Model> modelCall(byte[] body, boolean mayStream) {
        JsonNode root;
        try {
            root = JSON.readTree(body);
        } catch (JsonProcessingException e) {
            return Either.left(Failure.of(ErrorKind.MALFORMED_JSON, ExternalText.sanitize(e.getOriginalMessage())));
        } catch (java.io.IOException e) {
            return Either.left(Failure.of(ErrorKind.MALFORMED_JSON, "not encoded in UTF-8"));
        }
        Optional<String> problem = findProblem(root);
        if (problem.isPresent()) {
            return Either.left(Failure.of(ErrorKind.REQUEST_INVALID, problem.get()));
        }
        byte[] prompt = PrefixBlocks.encodePrompt(root.get("messages"));
        return Either.right(new CallKind.Model(
                ModelName.of(root.get("model").asText()),
                Math.max(1, prompt.length / ESTIMATED_BYTES_PER_TOKEN),
                root.path("max_tokens").asInt(DEFAULT_MAXIMUM_TOKENS),
                PrefixBlocks.hashes(prompt),
                mayStream && root.path("stream").asBoolean(false)));
    }

    private static Optional<String> findProblem(JsonNode root) {
        if (!root.isObject()) {
            return Optional.of("the body must be a JSON object");
        }
        if (!root.path("model").isTextual() || root.path("model").asText().isBlank()) {
            return Optional.of("model must be a non-blank string");
        }
        if (!root.path("messages").isArray() || root.path("messages").isEmpty()) {
            return Optional.of("messages must be a non-empty array");
        }
        for (JsonNode message : root.path("messages")) {
            JsonNode content = message.path("content");
            if (!message.path("role").isTextual() || !(content.isTextual() || content.isArray())) {
                return Optional.of("each message needs a role and a content, which is a string or an array");
            }
        }
        JsonNode tokens = root.path("max_tokens");
        if (!tokens.isMissingNode() && !(tokens.isInt() && tokens.asInt() >= 1 && tokens.asInt() <= MAXIMUM_TOKENS)) {
            return Optional.of("max_tokens must be an integer from 1 to " + MAXIMUM_TOKENS);
        }
        JsonNode stream = root.path("stream");
        return stream.isMissingNode() || stream.isBoolean()
                ? Optional.empty()
                : Optional.of("stream must be true or false");
    }
}
