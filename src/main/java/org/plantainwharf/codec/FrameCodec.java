package org.plantainwharf.codec;

import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.function.Function;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.vavr.control.Either;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.wire.PeerProtocol;

/**
 * Encodes and decodes the frames of a link. No frame is larger than {@link #MAXIMUM_FRAME_BYTES}: a large message is sent
 * without its large contents, or as a whole by a reference to it, and the receiver asks for what it lacks in parts. So a
 * large message neither delays the small ones nor begins anew after the loss of a link. Stateless and thread-safe.
 */
public final class FrameCodec {
    /** Contents and messages above this size are sent by reference. */
    public static final int LARGE_BYTES = 16 << 10;

    /** Largest number of bytes in one part of a content. */
    public static final int PART_BYTES = 32 << 10;

    /** Largest frame without its length prefix. */
    public static final int MAXIMUM_FRAME_BYTES = 64 << 10;

    /** Largest message, and largest content. A document of 4 MiB and the entries around it stay below this size. */
    public static final int MAXIMUM_MESSAGE_BYTES = 8 << 20;

    private static final HexFormat HEX = HexFormat.of();

    private final PeerMessageCodec messages;

    private FrameCodec(PeerMessageCodec messages) {
        this.messages = messages;
    }

    /** Returns a codec. */
    public static FrameCodec create(PeerMessageCodec messages) {
        return new FrameCodec(messages);
    }

    /**
     * Returns the frame of a message, or {@link ErrorKind#FRAME_INVALID} if the message is too large.
     *
     * @param contents keeps bytes, which are not modified afterwards, for the receiver's requests and returns their
     *     reference
     */
    public Either<Failure, byte[]> encode(PeerMessage message, Function<ByteBuffer, ContentReference> contents) {
        PeerProtocol.Frame frame = messages.toFrame(message);
        if (frame.getSerializedSize() <= LARGE_BYTES) {
            return Either.right(frame.toByteArray());
        }
        if (frame.getSerializedSize() > MAXIMUM_MESSAGE_BYTES) {
            return Either.left(Failure.of(
                    ErrorKind.FRAME_INVALID,
                    "message has " + frame.getSerializedSize() + " bytes, which is too large"));
        }
        PeerProtocol.Frame envelope = FrameContents.map(
                frame,
                content -> content.getData().size() <= LARGE_BYTES
                        ? content
                        : content.toBuilder()
                                .clearData()
                                .setReference(
                                        encode(contents.apply(content.getData().asReadOnlyByteBuffer())))
                                .build());
        if (envelope != frame) {
            envelope = envelope.toBuilder().setHasReferences(true).build();
        }
        if (envelope.getSerializedSize() > LARGE_BYTES) {
            envelope = PeerProtocol.Frame.newBuilder()
                    .setLargeMessage(encode(contents.apply(ByteBuffer.wrap(envelope.toByteArray()))))
                    .build();
        }
        return Either.right(envelope.toByteArray());
    }

    /** Returns the frame of a request, a part or a notice of absence. */
    public byte[] encodeRequest(LinkFrame.Requested request) {
        return PeerProtocol.Frame.newBuilder()
                .setContentRequest(PeerProtocol.ContentRequest.newBuilder()
                        .setDigest(encodeDigest(request.digest()))
                        .setOffset(request.offset())
                        .setLength(request.length()))
                .build()
                .toByteArray();
    }

    /** Returns the frame of a part of a content. */
    public byte[] encodePart(LinkFrame.Part part) {
        return PeerProtocol.Frame.newBuilder()
                .setContentPart(PeerProtocol.ContentPart.newBuilder()
                        .setDigest(encodeDigest(part.digest()))
                        .setOffset(part.offset())
                        .setData(UnsafeByteOperations.unsafeWrap(part.bytes())))
                .build()
                .toByteArray();
    }

    /** Returns the frame that says that a content is not available. */
    public byte[] encodeUnavailable(LinkFrame.Unavailable unavailable) {
        return PeerProtocol.Frame.newBuilder()
                .setContentUnavailable(
                        PeerProtocol.ContentUnavailable.newBuilder().setDigest(encodeDigest(unavailable.digest())))
                .build()
                .toByteArray();
    }

    /** Returns the frame in the given bytes, or {@link ErrorKind#FRAME_INVALID} if it is malformed. */
    public Either<Failure, LinkFrame> decode(byte[] bytes) {
        return decode(() -> decode(PeerProtocol.Frame.parseFrom(bytes)));
    }

    /** Runs a decoder of a frame. A frame of an unknown kind is not a failure. */
    static Either<Failure, LinkFrame> decode(Decoding.Decoder<LinkFrame> decoder) {
        return Decoding.run(() -> {
            try {
                return decoder.decode();
            } catch (UnknownKindException e) {
                return new LinkFrame.Unknown(String.valueOf(e.getMessage()));
            }
        });
    }

    static LinkFrame decode(PeerProtocol.Frame frame) {
        return switch (frame.getKindCase()) {
            case CONTENT_REQUEST -> {
                PeerProtocol.ContentRequest request = frame.getContentRequest();
                if (request.getOffset() < 0 || request.getLength() <= 0 || request.getLength() > PART_BYTES) {
                    throw new DecodingException("content request outside its bounds");
                }
                yield new LinkFrame.Requested(
                        decodeDigest(request.getDigest()), request.getOffset(), request.getLength());
            }
            case CONTENT_PART ->
                new LinkFrame.Part(
                        decodeDigest(frame.getContentPart().getDigest()),
                        frame.getContentPart().getOffset(),
                        frame.getContentPart().getData().toByteArray());
            case CONTENT_UNAVAILABLE ->
                new LinkFrame.Unavailable(
                        decodeDigest(frame.getContentUnavailable().getDigest()));
            case LARGE_MESSAGE -> new LinkFrame.Referring(Envelope.of(frame));
            default ->
                frame.getHasReferences()
                        ? new LinkFrame.Referring(Envelope.of(frame))
                        : new LinkFrame.Whole(PeerMessageCodec.decodeFrame(frame));
        };
    }

    private static PeerProtocol.ContentReference encode(ContentReference reference) {
        return PeerProtocol.ContentReference.newBuilder()
                .setDigest(encodeDigest(reference.digest()))
                .setCompressedLength(reference.compressedLength())
                .setLength(reference.length())
                .build();
    }

    static ContentReference decode(PeerProtocol.ContentReference wire) {
        if (wire.getLength() <= 0
                || wire.getLength() > MAXIMUM_MESSAGE_BYTES
                || wire.getCompressedLength() <= 0
                || wire.getCompressedLength() > MAXIMUM_MESSAGE_BYTES) {
            throw new DecodingException("content reference has a length outside its bounds");
        }
        return new ContentReference(decodeDigest(wire.getDigest()), wire.getCompressedLength(), wire.getLength());
    }

    private static ByteString encodeDigest(String digest) {
        return ByteString.copyFrom(HEX.parseHex(digest));
    }

    private static String decodeDigest(ByteString digest) {
        if (digest.size() != 32) {
            throw new DecodingException("digest of a content has " + digest.size() + " bytes");
        }
        return HEX.formatHex(digest.toByteArray());
    }
}
