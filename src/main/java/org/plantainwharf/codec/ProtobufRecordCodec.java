package org.plantainwharf.codec;

import io.vavr.control.Either;
import org.plantainwharf.error.Failure;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.storage.RecordCodec;
import org.plantainwharf.wire.PeerProtocol;

/**
 * Encodes and decodes log entries and state records as protobuf. Decoding reports malformed input as a failure and never
 * throws. Stateless and thread-safe.
 */
public final class ProtobufRecordCodec implements RecordCodec {
    private ProtobufRecordCodec() {}

    /** Returns a codec. */
    public static ProtobufRecordCodec create() {
        return new ProtobufRecordCodec();
    }

    @Override
    public byte[] encodeEntry(ReplicaEntry entry) {
        return ReplicaMapping.encode(entry).toByteArray();
    }

    @Override
    public Either<Failure, ReplicaEntry> decodeEntry(byte[] bytes) {
        return Decoding.run(() -> ReplicaMapping.decode(PeerProtocol.LogEntry.parseFrom(bytes)));
    }

    @Override
    public byte[] encodeRecord(StateRecord record) {
        return StateRecordMapping.encode(record).toByteArray();
    }

    @Override
    public Either<Failure, StateRecord> decodeRecord(byte[] bytes) {
        return Decoding.run(() -> StateRecordMapping.decode(PeerProtocol.StateRecord.parseFrom(bytes)));
    }
}
