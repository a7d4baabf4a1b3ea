package org.plantainwharf.sheet;

import org.plantainwharf.identity.RankName;

/**
 * A rank of work. Immutable.
 *
 * @param name the rank
 * @param latencyTargetMillis time to the first token of a model call, or to the whole answer of another call
 * @param deadlineMillis time after which an answer is of no use
 * @param worth relative worth of an answer in time, greater than 0
 * @param floorShare share of capacity the rank keeps during a flood of other ranks, 0 to 1; all ranks sum to 1 at most
 */
public record Rank(RankName name, long latencyTargetMillis, long deadlineMillis, double worth, double floorShare) {}
