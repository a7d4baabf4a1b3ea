/** Tests of the service document. */
@NullMarked
package org.plantainwharf.rollout;

import org.jspecify.annotations.NullMarked;
