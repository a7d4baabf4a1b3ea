package org.plantainwharf.sheet;

import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RouteName;

/**
 * A route to a plain service. Immutable.
 *
 * @param name the route
 * @param rank the rank of calls that name none
 * @param repeatable whether a call may run more than once; a caller cannot change this
 */
public record Route(RouteName name, RankName rank, boolean repeatable) {}
