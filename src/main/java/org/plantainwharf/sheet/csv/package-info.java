/** Parsing and writing of sheets as CSV. */
@NullMarked
package org.plantainwharf.sheet.csv;

import org.jspecify.annotations.NullMarked;
