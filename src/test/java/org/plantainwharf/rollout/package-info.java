/** Tests of rollouts. */
@NullMarked
package org.plantainwharf.rollout;

import org.jspecify.annotations.NullMarked;
