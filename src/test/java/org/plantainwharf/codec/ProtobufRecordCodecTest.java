package org.plantainwharf.codec;

import java.util.Arrays;

import io.vavr.control.Either;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.StateRecord;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

/** Guards against fields lost in stored entries and records and against malformed bytes that make decoding throw. */
class ProtobufRecordCodecTest {
    private static final ProtobufRecordCodec CODEC = ProtobufRecordCodec.create();

    @Group
    class RoundTrip {
        @Property(tries = 500, seed = "1")
        void preservesEveryEntry(@ForAll long seed) {
            ReplicaEntry entry = new RandomValues(seed).value(ReplicaEntry.class);
            assertEquals(Either.right(entry), CODEC.decodeEntry(CODEC.encodeEntry(entry)));
        }

        @Property(tries = 1_000, seed = "2")
        void preservesEveryStateRecord(@ForAll("variants") Class<? extends StateRecord> type, @ForAll long seed) {
            StateRecord value = new RandomValues(seed).value(type);
            assertEquals(Either.right(value), CODEC.decodeRecord(CODEC.encodeRecord(value)));
        }

        @Provide
        Arbitrary<Class<?>> variants() {
            return Arbitraries.of(RandomValues.variants(StateRecord.class));
        }
    }

    @Group
    class MalformedInput {
        @Property(tries = 1_000, seed = "3")
        void randomBytesNeverThrow(@ForAll byte[] bytes) {
            assertNotNull(CODEC.decodeEntry(bytes));
            assertNotNull(CODEC.decodeRecord(bytes));
        }

        @Property(tries = 500, seed = "4")
        void truncatedBytesNeverThrow(@ForAll long seed) {
            byte[] encoded = CODEC.encodeRecord(new RandomValues(seed).value(StateRecord.class));
            for (int length = 0; length < encoded.length; length++) {
                assertNotNull(CODEC.decodeRecord(Arrays.copyOf(encoded, length)));
            }
        }
    }
}
