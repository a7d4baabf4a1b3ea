package org.plantainwharf.storage;

import io.vavr.control.Either;
import org.plantainwharf.error.Failure;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.StateRecord;

/**
 * Encodes and decodes log entries and state records. The storage writer adds length and checksums, so the encoding needs
 * neither. Implementations are thread-safe and decode what older versions of this program wrote.
 */
public interface RecordCodec {
    /** Returns the bytes of an entry. */
    byte[] encodeEntry(ReplicaEntry entry);

    /** Returns the entry, or a failure when the bytes are not an entry. */
    Either<Failure, ReplicaEntry> decodeEntry(byte[] bytes);

    /** Returns the bytes of a state record. */
    byte[] encodeRecord(StateRecord record);

    /** Returns the state record, or a failure when the bytes are not a state record. */
    Either<Failure, StateRecord> decodeRecord(byte[] bytes);
}
