package org.plantainwharf.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

import org.plantainwharf.identity.Fingerprint;

/**
 * The parts of a forwarded request that the control thread needs; its bytes stay with the traffic threads. Immutable.
 *
 * @param requestId request id that the caller assigned
 * @param path path without query
 * @param key the caller's account key; empty if it sent none
 * @param deadlineMillis how long the caller waits; empty if it does not say
 * @param prompt present in requests to model engines
 * @param fingerprints what may crash a server that processes this request: the shared parts of the prompt and the whole
 *     request
 * @param takeUp present if the caller has events of the stream already and wants those after them
 * @param handedOver whether another entry daemon has handed the request over
 */
public record ForwardHead(
        String requestId,
        String host,
        String path,
        Optional<String> key,
        OptionalLong deadlineMillis,
        Optional<PromptShape> prompt,
        List<Fingerprint> fingerprints,
        Optional<TakeUp> takeUp,
        boolean handedOver) {
    /**
     * A caller's wish to go on with a stream that broke off.
     *
     * @param firstAttempt the attempt that brought the first event; empty if the caller does not name it
     */
    public record TakeUp(Optional<String> firstAttempt) {}

    /** Copies the fingerprints. */
    public ForwardHead {
        fingerprints = List.copyOf(fingerprints);
    }

    /**
     * Returns the head of a request.
     *
     * @param content identifies the whole request apart from its id; equal when a caller sends the same request again
     */
    public static ForwardHead of(
            String requestId,
            String host,
            String path,
            Optional<String> key,
            OptionalLong deadlineMillis,
            Optional<PromptShape> prompt,
            Fingerprint content) {
        List<Fingerprint> fingerprints = new ArrayList<>();
        prompt.ifPresent(shape -> shape.parts().stream()
                .limit(Math.max(0, shape.parts().size() - 1))
                .forEach(part -> fingerprints.add(Fingerprint.ofPromptPart(part.id()))));
        fingerprints.add(content);
        return new ForwardHead(
                requestId, host, path, key, deadlineMillis, prompt, fingerprints, Optional.empty(), false);
    }

    /** Returns this head with the stream that the caller takes up. */
    public ForwardHead takingUp(Optional<TakeUp> stream) {
        return new ForwardHead(requestId, host, path, key, deadlineMillis, prompt, fingerprints, stream, handedOver);
    }

    /** Returns this head with whether another entry daemon has handed the request over. */
    public ForwardHead handedOver(boolean byAnotherDaemon) {
        return new ForwardHead(
                requestId, host, path, key, deadlineMillis, prompt, fingerprints, takeUp, byAnotherDaemon);
    }
}
