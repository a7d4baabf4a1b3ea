package org.plantainwharf.codec;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.keptpart.KeptPart;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.observation.Digest;
import org.plantainwharf.observation.ServerObservation;
import org.plantainwharf.observation.ServerStart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against messages about servers that exceed 8 KB/s of the 28 KB/s that control may use of a daemon. */
class SharedKnowledgeSizeTest {
    private static final int OBSERVATIONS = 32;
    private static final int OBSERVATION_MESSAGES_PER_SECOND = 10;
    private static final int PARTS = 20;
    private static final int PART_MESSAGES_PER_SECOND = 5;
    private static final long TOKEN = 1L << 40;

    private final PeerMessageCodec codec = PeerMessageCodec.create();

    private static PeerMessage observations(int count, int startingWithSpeed) {
        return new PeerMessage.ServerObservations(
                100_000,
                TOKEN,
                IntStream.range(0, count)
                        .mapToObj(index -> new ServerObservation(
                                ServerStart.of(ServerId.of("i-" + index), 1_000), 14, 3, 250, startingWithSpeed, 150))
                        .toList());
    }

    private static PeerMessage parts(int count) {
        return new PeerMessage.KeptParts(
                100_000,
                TOKEN,
                IntStream.range(0, count)
                        .mapToObj(index -> new KeptPart(
                                ServerStart.of(ServerId.of("i-" + index), 1_000), Digest.of("p" + index), 5_382, 400))
                        .toList());
    }

    private int size(PeerMessage message) {
        return codec.encode(message).length;
    }

    @Nested
    class FullMessages {
        @Test
        void ofAllKindsStayWithinTheBudget() {
            int observations = size(observations(OBSERVATIONS, 160));
            int parts = size(parts(PARTS));
            int bytesPerSecond = observations * OBSERVATION_MESSAGES_PER_SECOND + parts * PART_MESSAGES_PER_SECOND;
            assertTrue(
                    bytesPerSecond <= 8_000,
                    observations + " B of observations, " + parts + " B of parts, " + bytesPerSecond + " B/s");
        }

        @Test
        void arriveAsTheyWereSent() {
            for (PeerMessage message : List.of(observations(OBSERVATIONS, 0), parts(PARTS))) {
                assertEquals(message, codec.decode(codec.encode(message)).get());
            }
        }
    }
}
