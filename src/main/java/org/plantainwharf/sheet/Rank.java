package org.plantainwharf.sheet;

import org.plantainwharf.identity.RankName;

/**
 * A rank (priority class) of requests. Immutable.
 *
 * @param name the rank
 * @param latencyTargetMillis target time to the first token of a model call, or to the complete answer of any other call
 * @param deadlineMillis time after which the caller has no use for an answer
 * @param worth relative value of an answer delivered in time, greater than 0
 * @param floorShare fraction of capacity reserved for the rank when other ranks overload the system, 0 to 1; the sum over
 *     all ranks is at most 1
 */
public record Rank(RankName name, long latencyTargetMillis, long deadlineMillis, double worth, double floorShare) {}
