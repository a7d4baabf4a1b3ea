/** Orders and accepted work that this host takes part in. */
@NullMarked
package org.plantainwharf.record;

import org.jspecify.annotations.NullMarked;
