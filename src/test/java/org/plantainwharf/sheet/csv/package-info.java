/** Tests of parsing and writing sheets as CSV. */
@NullMarked
package org.plantainwharf.sheet.csv;

import org.jspecify.annotations.NullMarked;
