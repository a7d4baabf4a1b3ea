/** Progress of a planned stop. */
@NullMarked
package org.plantainwharf.drain;

import org.jspecify.annotations.NullMarked;
