package org.plantainwharf.effect;

import io.vavr.control.Either;
import org.plantainwharf.error.Failure;

/** Answers to operators. Immutable. */
public sealed interface OperatorEffect extends Effect {
    /** Answers an operator's request with a line of text or a failure. */
    record AnswerOperator(long ticket, Either<Failure, String> answer) implements OperatorEffect {}
}
