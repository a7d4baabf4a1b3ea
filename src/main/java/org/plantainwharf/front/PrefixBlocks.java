package org.plantainwharf.front;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.plantainwharf.record.Digests;

/**
 * Computes hashes of the leading blocks of a prompt, by which model engines report the prefixes in their caches. Each
 * hash covers its block and all blocks before it, so equal hashes mean equal prefixes. Stateless; thread-safe.
 */
public final class PrefixBlocks {
    /** Size of a block in bytes. */
    public static final int BLOCK_BYTES = 256;

    // Maximum number of blocks that are hashed: 512 blocks cover 128 KiB. Matching a longer prefix gains little, and
    // the hashes are kept as long as the call.
    private static final int MAXIMUM_BLOCKS = 512;

    private PrefixBlocks() {}

    /** Encodes chat messages as one prompt: the role and content of each, separated by control characters. */
    public static byte[] encodePrompt(JsonNode messages) {
        ByteArrayOutputStream prompt = new ByteArrayOutputStream();
        for (JsonNode message : messages) {
            append(prompt, message.path("role").asText());
            prompt.write(0x1f);
            JsonNode content = message.path("content");
            append(prompt, content.isTextual() ? content.asText() : content.toString());
            prompt.write(0x1e);
        }
        return prompt.toByteArray();
    }

    private static void append(ByteArrayOutputStream prompt, String text) {
        prompt.writeBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the hashes of the complete blocks of a prompt, in order, at most 512. */
    public static List<Long> hashes(byte[] prompt) {
        int count = Math.min(prompt.length / BLOCK_BYTES, MAXIMUM_BLOCKS);
        List<Long> hashes = new ArrayList<>(count);
        MessageDigest digest = Digests.newDigest();
        byte[] previous = new byte[0];
        for (int block = 0; block < count; block++) {
            digest.update(previous);
            digest.update(prompt, block * BLOCK_BYTES, BLOCK_BYTES);
            previous = digest.digest();
            hashes.add(ByteBuffer.wrap(previous).getLong());
        }
        return hashes;
    }
}
