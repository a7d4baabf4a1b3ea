package org.plantainwharf.front;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against request targets that no server can be sent. */
class RequestReaderTest {
    @Nested
    class PercentEscapes {
        @ParameterizedTest
        @ValueSource(strings = {"/a%zz", "/a%", "/a%4", "/a%4g", "//a%zz/b", "/a?b=%zz", "/%25%"})
        void thatAreInvalidAreFound(String target) {
            assertFalse(RequestReader.hasValidEscapes(target));
        }

        @ParameterizedTest
        @ValueSource(strings = {"/", "/a%2Fb", "/a%2f?b=%25", "//a%00", "/%25zz"})
        void thatAreValidArePassed(String target) {
            assertTrue(RequestReader.hasValidEscapes(target));
        }
    }
}
