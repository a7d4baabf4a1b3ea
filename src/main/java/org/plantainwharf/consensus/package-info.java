/** Roles, terms and leaders of the replicated logs. */
@NullMarked
package org.plantainwharf.consensus;

import org.jspecify.annotations.NullMarked;
