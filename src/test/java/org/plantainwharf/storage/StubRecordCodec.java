package org.plantainwharf.storage;

import java.nio.ByteBuffer;

import io.vavr.control.Either;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.StateRecord;

/** Codec that supports expiry commands and fencing records only. Stateless. */
final class StubRecordCodec implements RecordCodec {
    private static final HostId ANY = HostId.of("any");

    @Override
    public byte[] encodeEntry(ReplicaEntry entry) {
        long value = ((Command.Expire) entry.command()).wallClockMillis();
        return ByteBuffer.allocate(24)
                .putLong(entry.index())
                .putLong(entry.term())
                .putLong(value)
                .array();
    }

    @Override
    public Either<Failure, ReplicaEntry> decodeEntry(byte[] bytes) {
        if (bytes.length != 24) {
            return Either.left(Failure.of(ErrorKind.STORAGE_FAILED, "entry is not 24 bytes long"));
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return Either.right(ReplicaEntry.of(buffer.getLong(), buffer.getLong(), new Command.Expire(buffer.getLong())));
    }

    @Override
    public byte[] encodeRecord(StateRecord record) {
        return ByteBuffer.allocate(8)
                .putLong(((StateRecord.Fencing) record).number())
                .array();
    }

    @Override
    public Either<Failure, StateRecord> decodeRecord(byte[] bytes) {
        return Either.right(new StateRecord.Fencing(ByteBuffer.wrap(bytes).getLong(), ANY, 0));
    }
}
