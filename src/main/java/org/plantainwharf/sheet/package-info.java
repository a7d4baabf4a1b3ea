/** The immutable data model of the sheet: client accounts, ranks, routes and budgets. */
@NullMarked
package org.plantainwharf.sheet;

import org.jspecify.annotations.NullMarked;
