package org.plantainwharf.codec;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Function;

import com.google.protobuf.UnsafeByteOperations;
import io.vavr.control.Either;
import org.plantainwharf.error.Failure;
import org.plantainwharf.wire.PeerProtocol;

/** A message with references to contents that do not come with it. Immutable. */
public final class Envelope {
    private final PeerProtocol.Frame frame;
    private final Set<ContentReference> references;

    private Envelope(PeerProtocol.Frame frame, Set<ContentReference> references) {
        this.frame = frame;
        this.references = references;
    }

    /** Returns the envelope of a frame. It has no references if the frame is whole. */
    static Envelope of(PeerProtocol.Frame frame) {
        Set<ContentReference> references = new LinkedHashSet<>();
        if (frame.hasLargeMessage()) {
            references.add(FrameCodec.decode(frame.getLargeMessage()));
        } else {
            FrameContents.map(frame, content -> {
                if (content.hasReference()) {
                    references.add(FrameCodec.decode(content.getReference()));
                }
                return content;
            });
        }
        return new Envelope(frame, references);
    }

    /** Returns the references, without repetition. */
    public Set<ContentReference> references() {
        return references;
    }

    /**
     * Returns the message with its contents. It may be an envelope again if it was large in itself.
     *
     * @param contents returns the bytes that a reference of this envelope stands for
     */
    public Either<Failure, LinkFrame> resolve(Function<ContentReference, byte[]> contents) {
        return FrameCodec.decode(() -> {
            if (frame.hasLargeMessage()) {
                byte[] whole = contents.apply(FrameCodec.decode(frame.getLargeMessage()));
                return FrameCodec.decode(PeerProtocol.Frame.parseFrom(whole));
            }
            return new LinkFrame.Whole(
                    PeerMessageCodec.decodeFrame(FrameContents.map(frame, content -> resolve(content, contents))));
        });
    }

    private static PeerProtocol.Content resolve(
            PeerProtocol.Content content, Function<ContentReference, byte[]> contents) {
        if (!content.hasReference()) {
            return content;
        }
        byte[] data = contents.apply(FrameCodec.decode(content.getReference()));
        return PeerProtocol.Content.newBuilder()
                .setMediaType(content.getMediaType())
                .setData(UnsafeByteOperations.unsafeWrap(data))
                .build();
    }
}
