/** Reads and validates the settings of one daemon. */
@NullMarked
package org.plantainwharf.settings;

import org.jspecify.annotations.NullMarked;
