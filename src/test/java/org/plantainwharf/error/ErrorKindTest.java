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

/**
 * Checks every error kind. Guards against success statuses, invitations to retry a request that ran, unfilled message
 * placeholders, and two kinds that share a counter.
 */
class ErrorKindTest {
    @Nested
    class EachKind {
        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void answersWithAnErrorStatus(ErrorKind kind) {
            assertTrue(kind.httpStatus() >= 400 && kind.httpStatus() <= 599, kind::name);
        }

        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void isNotRetryableIfTheRequestRan(ErrorKind kind) {
            assertFalse(kind.retryable() && kind.executionStatus() == ExecutionStatus.YES, kind::name);
        }

        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void fillsEveryPlaceholderInItsMessage(ErrorKind kind) {
            int placeholders = kind.messageTemplate().split("%s", -1).length - 1;
            Object[] arguments = new Object[placeholders];
            Arrays.fill(arguments, "value");
            String message = Failure.of(kind, arguments).message();
            assertFalse(message.contains("%"), message);
        }
    }

    @Nested
    class AllKinds {
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
