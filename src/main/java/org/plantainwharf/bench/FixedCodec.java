package org.plantainwharf.bench;

import java.nio.ByteBuffer;

import io.vavr.control.Either;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.storage.RecordCodec;

/** Writes entries and records of a fixed size, so that the storage writer is measured without a codec. Immutable. */
final class FixedCodec implements RecordCodec {
    private static final HostId ANY = HostId.of("any");

    private final int size;

    private FixedCodec(int size) {
        this.size = size;
    }

    static FixedCodec create(int size) {
        return new FixedCodec(size);
    }

    @Override
    public byte[] encodeEntry(ReplicaEntry entry) {
        return ByteBuffer.allocate(size)
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
        return new byte[size];
    }

    @Override
    public Either<Failure, StateRecord> decodeRecord(byte[] bytes) {
        return Either.right(new StateRecord.Fencing(0, ANY, 0));
    }
}
