/** Moving a service to another software version under watch. */
@NullMarked
package org.plantainwharf.rollout;

import org.jspecify.annotations.NullMarked;
