package org.plantainwharf.effect;

import org.plantainwharf.call.Call;
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.identity.ServerId;

/** What to do with attempts on backend servers. Immutable. */
public sealed interface AttemptEffect extends Effect {
    /**
     * Sends a call to a server.
     *
     * @param address IP number and port
     * @param answerHandling what becomes of the answer's bytes
     * @param priority higher runs first at the engine
     * @param deadlineNanos after which the answer is of no use
     * @param resumeFromTokens tokens already received by earlier attempts, sent as the start of the answer
     * @param silenceLimitMillis longest time without a byte
     */
    record StartAttempt(
            AttemptId attempt,
            Call call,
            ServerId server,
            String address,
            AnswerHandling answerHandling,
            int priority,
            long deadlineNanos,
            int resumeFromTokens,
            long silenceLimitMillis)
            implements AttemptEffect {}

    /** Cancels an attempt at the server and closes its exchange. */
    record CancelAttempt(AttemptId attempt) implements AttemptEffect {}
}
