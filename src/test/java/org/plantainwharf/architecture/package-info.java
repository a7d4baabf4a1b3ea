/** Checks on the structure of the code. */
@NullMarked
package org.plantainwharf.architecture;

import org.jspecify.annotations.NullMarked;
