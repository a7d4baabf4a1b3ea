package org.plantainwharf.effect;

import org.plantainwharf.call.Call;
import org.plantainwharf.identity.AttemptId;
import org.plantainwharf.identity.ServerId;

/** Starts and cancels attempts on backend servers. Immutable. */
public sealed interface AttemptEffect extends Effect {
    /**
     * Sends a call to a server.
     *
     * @param address IP address and port
     * @param answerHandling how the response body is processed
     * @param priority scheduling priority at the engine; higher values run first
     * @param deadlineNanos time on the host's monotonic clock after which the response is no longer useful
     * @param resumeTokenCount number of tokens that earlier attempts received; the server continues the answer after them
     * @param idleTimeoutMillis longest time without a byte before the connection counts as silent
     */
    record StartAttempt(
            AttemptId attempt,
            Call call,
            ServerId server,
            String address,
            AnswerHandling answerHandling,
            int priority,
            long deadlineNanos,
            int resumeTokenCount,
            long idleTimeoutMillis)
            implements AttemptEffect {}

    /** Cancels an attempt at the server and closes its exchange. */
    record CancelAttempt(AttemptId attempt) implements AttemptEffect {}
}
