package org.plantainwharf.platform;

import java.io.ByteArrayOutputStream;
import java.net.URLEncoder;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Optional;

/** Percent-encoding of names in request paths. Stateless. */
final class PathSegments {
    private static final int ESCAPE_CHARACTERS = 3;

    private PathSegments() {}

    /** Returns a name as a segment of a path. */
    static String encode(String name) {
        return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
    }

    /**
     * Returns the name in a part of a path, as it was sent. A semicolon or a slash belongs to the name, encoded or not.
     *
     * @return empty if a percent sign is not followed by two hexadecimal digits, or the bytes are not UTF-8
     */
    static Optional<String> decode(String encoded) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int position = 0;
        while (position < encoded.length()) {
            int codePoint = encoded.codePointAt(position);
            if (codePoint != '%') {
                bytes.writeBytes(Character.toString(codePoint).getBytes(StandardCharsets.UTF_8));
                position += Character.charCount(codePoint);
            } else {
                if (position + ESCAPE_CHARACTERS > encoded.length()
                        || !HexFormat.isHexDigit(encoded.charAt(position + 1))
                        || !HexFormat.isHexDigit(encoded.charAt(position + 2))) {
                    return Optional.empty();
                }
                bytes.write(HexFormat.fromHexDigits(encoded, position + 1, position + ESCAPE_CHARACTERS));
                position += ESCAPE_CHARACTERS;
            }
        }
        try {
            return Optional.of(StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes.toByteArray()))
                    .toString());
        } catch (CharacterCodingException e) {
            return Optional.empty();
        }
    }
}
