package org.plantainwharf.storage;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import io.vavr.control.Either;
import org.plantainwharf.consensus.ReplicaSnapshot;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.message.ReplicaEntry;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.replicated.VoterId;

/**
 * Encodes and decodes the payloads of log and snapshot records. The {@link RecordCodec} encodes the entries and state
 * records in them. Immutable.
 */
final class PayloadCodec {
    private static final byte TERM = 1;
    private static final byte TRUNCATE = 2;
    private static final byte ENTRY = 3;

    private final RecordCodec codec;

    /** One record of a log file. */
    sealed interface LogRecord {
        /** Sets term and vote. */
        record Term(long term, String vote) implements LogRecord {}

        /** Discards the entries from this index on. */
        record Truncate(long index) implements LogRecord {}

        /** Appends an entry. */
        record Entry(ReplicaEntry entry) implements LogRecord {}
    }

    /** Writes one payload. */
    private interface PayloadWriter {
        void write(DataOutputStream output) throws IOException;
    }

    private PayloadCodec(RecordCodec codec) {
        this.codec = codec;
    }

    static PayloadCodec create(RecordCodec codec) {
        return new PayloadCodec(codec);
    }

    byte[] encodeTerm(long term, String vote) {
        return payload(output -> {
            output.writeByte(TERM);
            output.writeLong(term);
            output.writeUTF(vote);
        });
    }

    byte[] encodeTruncate(long index) {
        return payload(output -> {
            output.writeByte(TRUNCATE);
            output.writeLong(index);
        });
    }

    byte[] encodeEntry(ReplicaEntry entry) {
        return payload(output -> {
            output.writeByte(ENTRY);
            output.write(codec.encodeEntry(entry));
        });
    }

    Either<Failure, LogRecord> decodeLogRecord(byte[] payload) {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(payload))) {
            byte kind = input.readByte();
            if (kind == TERM) {
                return Either.right(new LogRecord.Term(input.readLong(), input.readUTF()));
            } else if (kind == TRUNCATE) {
                return Either.right(new LogRecord.Truncate(input.readLong()));
            } else if (kind == ENTRY) {
                return codec.decodeEntry(Arrays.copyOfRange(payload, 1, payload.length))
                        .map(LogRecord.Entry::new);
            }
            return Either.left(Failure.of(ErrorKind.STORAGE_FAILED, "unknown kind of log record: " + kind));
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorKind.STORAGE_FAILED, e));
        }
    }

    /** Returns the payloads of a snapshot's records, each encoded when the stream reaches it: a header, then the state. */
    Stream<byte[]> encodeSnapshot(ReplicaSnapshot snapshot) {
        byte[] header = payload(output -> {
            output.writeLong(snapshot.lastIndex());
            output.writeLong(snapshot.lastTerm());
            output.writeInt(snapshot.records().size());
            output.writeInt(snapshot.voters().size());
            for (VoterId voter : snapshot.voters()) {
                output.writeUTF(voter.host().value());
                output.writeLong(voter.diskIncarnation());
            }
        });
        return Stream.concat(Stream.of(header), snapshot.records().stream().map(codec::encodeRecord));
    }

    /** Returns the snapshot with a header and as many of the records that follow it as the header says. */
    Either<Failure, ReplicaSnapshot> decodeSnapshot(byte[] header, RecordReader following) throws IOException {
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(header))) {
            long lastIndex = input.readLong();
            long lastTerm = input.readLong();
            int recordCount = input.readInt();
            int voterCount = input.readInt();
            List<VoterId> voters = new ArrayList<>();
            for (int index = 0; index < voterCount; index++) {
                voters.add(VoterId.of(HostId.of(input.readUTF()), input.readLong()));
            }
            List<StateRecord> records = new ArrayList<>();
            for (int index = 0; index < recordCount; index++) {
                Optional<byte[]> payload = following.next();
                if (payload.isEmpty()) {
                    return Either.left(Failure.of(ErrorKind.STORAGE_FAILED, "snapshot ends before its last record"));
                }
                Either<Failure, StateRecord> record = codec.decodeRecord(payload.get());
                if (record.isLeft()) {
                    return Either.left(record.getLeft());
                }
                records.add(record.get());
            }
            return Either.right(new ReplicaSnapshot(lastIndex, lastTerm, voters, records));
        } catch (EOFException e) {
            return Either.left(Failure.of(ErrorKind.STORAGE_FAILED, e));
        }
    }

    private static byte[] payload(PayloadWriter writer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(bytes)) {
            writer.write(output);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to a byte array failed", e);
        }
        return bytes.toByteArray();
    }
}
