package org.plantainwharf.record;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;
import org.plantainwharf.call.Content;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.IdempotencyKey;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.Query;
import org.plantainwharf.replicated.QueryResult;
import org.plantainwharf.testing.Samples;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/**
 * Guards against orders that run twice or are reserved for good when commands are delayed, duplicated or reordered, and
 * against accepted work that is lost or gets the answer of an old attempt.
 */
class RecordStateTest {
    private static final AccountName ACCOUNT = Samples.ACCOUNT;
    private static final IdempotencyKey KEY = IdempotencyKey.of("key");
    private static final HostId OWNER = HostId.of("h1");
    private static final Content ANSWER = Content.of("text/plain", "done".getBytes(StandardCharsets.UTF_8));

    private static Command intent(String request, String digest) {
        return new Command.RecordIntent(ACCOUNT, KEY, digest, OWNER, 1, RequestId.of(request), 0);
    }

    private static Command release(String request) {
        return new Command.ReleaseIntent(ACCOUNT, KEY, RequestId.of(request), 0);
    }

    private static Command lose(String request) {
        return new Command.LoseOutcome(ACCOUNT, KEY, RequestId.of(request));
    }

    private static Command outcome(String request) {
        return new Command.RecordOutcome(ACCOUNT, KEY, RequestId.of(request), 200, ANSWER, 0);
    }

    private static Command expire(long millis) {
        return new Command.Expire(millis);
    }

    private static final Command OWNER_LOST = new Command.MarkOwnerLost(OWNER, 1);

    /** Commands in order, the expected result of the last one, and the fault that another result would show. */
    private record Case(String fault, CommandResult expected, Command... commands) {}

    @Nested
    class Orders {
        private static final CommandResult GRANTED = new CommandResult.IntentGranted();
        private static final CommandResult DONE = new CommandResult.Done();
        private static final CommandResult IGNORED = new CommandResult.Ignored();
        private static final CommandResult LOST = new CommandResult.IntentLost();
        private static final CommandResult FINISHED = new CommandResult.IntentFinished(200, ANSWER);
        private static final long WEEK = RecordState.ANSWER_RETENTION_MILLIS;
        private static final long KEY_END = RecordState.KEY_RETENTION_MILLIS;

        @TestFactory
        Stream<DynamicTest> returnTheExpectedResult() {
            return List.of(
                            new Case("first intent is refused", GRANTED, intent("r1", "d")),
                            new Case(
                                    "resent intent of the owner is refused",
                                    GRANTED,
                                    intent("r1", "d"),
                                    intent("r1", "d")),
                            new Case(
                                    "second request runs while the first is pending",
                                    new CommandResult.IntentRunning(RequestId.of("r1")),
                                    intent("r1", "d"),
                                    intent("r2", "d")),
                            new Case(
                                    "key is accepted with different content",
                                    new CommandResult.IntentReused(),
                                    intent("r1", "d"),
                                    intent("r2", "other")),
                            new Case(
                                    "order runs again after its answer",
                                    FINISHED,
                                    intent("r1", "d"),
                                    outcome("r1"),
                                    intent("r2", "d")),
                            new Case(
                                    "order with a lost outcome runs again",
                                    LOST,
                                    intent("r1", "d"),
                                    lose("r1"),
                                    intent("r2", "d")),
                            new Case(
                                    "order of a lost owner runs again",
                                    LOST,
                                    intent("r1", "d"),
                                    OWNER_LOST,
                                    intent("r2", "d")),
                            new Case(
                                    "late outcome from a lost owner is dropped",
                                    FINISHED,
                                    intent("r1", "d"),
                                    OWNER_LOST,
                                    outcome("r1"),
                                    intent("r2", "d")),
                            new Case(
                                    "released key cannot be used again",
                                    GRANTED,
                                    intent("r1", "d"),
                                    release("r1"),
                                    intent("r2", "d")),
                            new Case(
                                    "delayed duplicate intent reserves a released key",
                                    IGNORED,
                                    intent("r1", "d"),
                                    release("r1"),
                                    intent("r1", "d")),
                            new Case(
                                    "intent is granted after its own release",
                                    IGNORED,
                                    release("r1"),
                                    intent("r1", "d")),
                            new Case(
                                    "request that does not own the intent releases it",
                                    new CommandResult.IntentRunning(RequestId.of("r1")),
                                    intent("r1", "d"),
                                    release("r2"),
                                    intent("r3", "d")),
                            new Case(
                                    "delayed release frees the intent of another request",
                                    new CommandResult.IntentRunning(RequestId.of("r2")),
                                    intent("r1", "d"),
                                    release("r1"),
                                    intent("r2", "d"),
                                    release("r1"),
                                    intent("r3", "d")),
                            new Case(
                                    "intent that arrives after its release reserves a key released by another request",
                                    IGNORED,
                                    intent("r1", "d"),
                                    release("r1"),
                                    release("r2"),
                                    intent("r2", "d")),
                            new Case(
                                    "intent that arrives after its release reserves a key after another owner",
                                    IGNORED,
                                    intent("r1", "d"),
                                    release("r2"),
                                    release("r1"),
                                    intent("r2", "d")),
                            new Case("outcome of another request is stored", IGNORED, intent("r1", "d"), outcome("r2")),
                            new Case(
                                    "delayed duplicate of a refused intent reserves a key that was released since",
                                    IGNORED,
                                    intent("r1", "d"),
                                    intent("r2", "d"),
                                    release("r1"),
                                    intent("r2", "d")),
                            new Case(
                                    "release is accepted after the outcome",
                                    IGNORED,
                                    intent("r1", "d"),
                                    outcome("r1"),
                                    release("r1")),
                            new Case(
                                    "resent outcome is refused", DONE, intent("r1", "d"), outcome("r1"), outcome("r1")),
                            new Case(
                                    "order runs again when its answer expires",
                                    new CommandResult.IntentExpired(),
                                    intent("r1", "d"),
                                    outcome("r1"),
                                    expire(WEEK),
                                    intent("r2", "d")),
                            new Case(
                                    "answer expires too early",
                                    FINISHED,
                                    intent("r1", "d"),
                                    outcome("r1"),
                                    expire(WEEK - 1),
                                    intent("r2", "d")),
                            new Case(
                                    "pending intent expires",
                                    new CommandResult.IntentRunning(RequestId.of("r1")),
                                    intent("r1", "d"),
                                    expire(KEY_END * 2),
                                    intent("r2", "d")),
                            new Case(
                                    "expired key can be used again before its retention period ends",
                                    new CommandResult.IntentExpired(),
                                    intent("r1", "d"),
                                    outcome("r1"),
                                    expire(WEEK),
                                    expire(KEY_END - 1),
                                    intent("r2", "d")))
                    .stream()
                    .map(row -> DynamicTest.dynamicTest(row.fault(), () -> {
                        check(row, RecordState.create(), false);
                        check(row, RecordState.create(), true);
                    }));
        }

        /** Applies the commands of a row; if {@code snapshots} is set, restores the state from a snapshot before each. */
        private void check(Case row, RecordState initial, boolean snapshots) {
            RecordState state = initial;
            CommandResult last = IGNORED;
            for (Command command : row.commands()) {
                if (snapshots) {
                    RecordState restored = RecordState.create();
                    restored.restore(state.records());
                    state = restored;
                }
                last = state.apply(command);
            }
            assertEquals(row.expected(), last);
        }
    }

    @Nested
    class AcceptedWork {
        private final RecordState state = RecordState.create();
        private final RequestId request = RequestId.of("w1");

        private CommandResult assign(int attempt, String owner) {
            return state.apply(new Command.AssignWork(request, attempt, HostId.of(owner), 1));
        }

        private CommandResult complete(int attempt, String text) {
            Content answer = Content.of("text/plain", text.getBytes(StandardCharsets.UTF_8));
            return state.apply(
                    new Command.CompleteWork(request, attempt, 200, answer, Digests.sha256(answer.bytes()), 0));
        }

        private void accept() {
            state.apply(
                    new Command.AcceptWork(ACCOUNT, request, Samples.LONG, Samples.modelCallKind(false), ANSWER, 0));
        }

        @Test
        void ignoresALateAnswerOfASupersededAttempt() {
            accept();
            assign(1, "h1");
            assign(2, "h2");
            assertEquals(new CommandResult.Ignored(), complete(1, "late"));
            assertEquals(new CommandResult.Done(), complete(2, "current"));
            QueryResult.WorkFinished finished = assertInstanceOf(
                    QueryResult.WorkFinished.class, state.answer(new Query.WorkState(ACCOUNT, request)));
            assertEquals("current", new String(finished.answer().bytes(), StandardCharsets.UTF_8));
        }

        @Test
        void keepsItsFirstAnswer() {
            accept();
            assign(1, "h1");
            complete(1, "first");
            assertEquals(new CommandResult.Ignored(), assign(2, "h2"));
            complete(1, "second");
            QueryResult.WorkFinished finished = assertInstanceOf(
                    QueryResult.WorkFinished.class, state.answer(new Query.WorkState(ACCOUNT, request)));
            assertEquals("first", new String(finished.answer().bytes(), StandardCharsets.UTF_8));
        }

        @Test
        void isNotVisibleToAnotherAccount() {
            accept();
            assertEquals(
                    new QueryResult.NotFound(), state.answer(new Query.WorkState(AccountName.of("other"), request)));
        }

        @Test
        void staysUnfinishedAfterItIsReturned() {
            accept();
            assign(1, "h1");
            state.apply(new Command.ReturnWork(request, 1));
            assertEquals(1, state.unfinishedWork().size());
            assertEquals(new CommandResult.Ignored(), complete(1, "returned attempt"));
            assertEquals(new CommandResult.Done(), assign(2, "h2"));
        }

        @Test
        void refusesASkippedAttemptNumber() {
            accept();
            assertEquals(new CommandResult.Ignored(), assign(2, "h1"));
        }

        @Test
        void isRestoredFromASnapshot() {
            accept();
            assign(1, "h1");
            RecordState restored = RecordState.create();
            restored.restore(state.records());
            assertEquals(state.unfinishedWork(), restored.unfinishedWork());
        }
    }
}
