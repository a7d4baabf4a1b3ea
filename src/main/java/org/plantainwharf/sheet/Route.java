package org.plantainwharf.sheet;

import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RouteName;

/**
 * A route to a plain service. Immutable.
 *
 * @param name the route
 * @param rank default rank of calls that specify none
 * @param repeatable whether a call may be executed more than once; callers cannot override this
 */
public record Route(RouteName name, RankName rank, boolean repeatable) {}
