/** Tests of what is known of prompt parts that servers keep. */
@NullMarked
package org.plantainwharf.keptpart;

import org.jspecify.annotations.NullMarked;
