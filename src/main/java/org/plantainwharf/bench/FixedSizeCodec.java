package org.plantainwharf.bench;

import java.nio.ByteBuffer;

import io.vavr.control.Either;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.storage.RecordCodec;

/**
 * Encodes entries and records as a fixed number of bytes, so that measurements of the storage writer exclude the cost
 * of the real codec. Decoded entries keep their index and term only. Immutable.
 */
final class FixedSizeCodec implements RecordCodec {
    private static final HostId PLACEHOLDER_HOST = HostId.of("any");

    private final int encodedBytes;

    private FixedSizeCodec(int encodedBytes) {
        this.encodedBytes = encodedBytes;
    }

    static FixedSizeCodec create(int encodedBytes) {
        return new FixedSizeCodec(encodedBytes);
    }

    @Override
    public byte[] encodeEntry(ReplicaEntry entry) {
        return ByteBuffer.allocate(encodedBytes)
                .putLong(entry.index())
                .putLong(entry.term())
                .array();
    }

    @Override
    public Either<Failure, ReplicaEntry> decodeEntry(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return Either.right(ReplicaEntry.of(buffer.getLong(), buffer.getLong(), new Command.Expire(0)));
    }

    @Override
    public byte[] encodeRecord(StateRecord record) {
        return new byte[encodedBytes];
    }

    @Override
    public Either<Failure, StateRecord> decodeRecord(byte[] bytes) {
        return Either.right(new StateRecord.Fencing(0, PLACEHOLDER_HOST, 0));
    }
}
