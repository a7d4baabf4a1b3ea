/** Daemons and their links. */
@NullMarked
package org.plantainwharf.membership;

import org.jspecify.annotations.NullMarked;
