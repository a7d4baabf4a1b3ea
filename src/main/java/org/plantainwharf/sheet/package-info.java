/** The sheet as immutable data: client accounts, ranks, routes and budgets. */
@NullMarked
package org.plantainwharf.sheet;

import org.jspecify.annotations.NullMarked;
