package org.plantainwharf.error;

import java.util.Arrays;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Walks the whole error table. */
class ErrorKindTest {
    @Nested
    class EachRow {
        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void answersWithAnErrorStatus(ErrorKind kind) {
            assertTrue(kind.httpStatus() >= 400 && kind.httpStatus() <= 599, kind::name);
        }

        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void doesNotInviteARetryOfWorkThatRan(ErrorKind kind) {
            assertFalse(kind.retryable() && kind.ran() == Ran.YES, kind::name);
        }

        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void fillsEveryPlaceInItsMessage(ErrorKind kind) {
            int places = kind.messageTemplate().split("%s", -1).length - 1;
            Object[] arguments = new Object[places];
            Arrays.fill(arguments, "value");
            String message = Failure.of(kind, arguments).message();
            assertFalse(message.contains("%"), message);
        }
    }

    @Nested
    class WholeTable {
        @Test
        void hasDistinctMetricNames() {
            assertEquals(
                    ErrorKind.values().length,
                    Arrays.stream(ErrorKind.values())
                            .map(ErrorKind::metricName)
                            .collect(Collectors.toSet())
                            .size());
        }
    }
}
