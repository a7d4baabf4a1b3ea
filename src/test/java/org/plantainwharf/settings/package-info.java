/** Tests of reading and validating settings. */
@NullMarked
package org.plantainwharf.settings;

import org.jspecify.annotations.NullMarked;
