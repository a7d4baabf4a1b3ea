/** Right and wrong sheet files. */
@NullMarked
package org.plantainwharf.sheet.csv;

import org.jspecify.annotations.NullMarked;
