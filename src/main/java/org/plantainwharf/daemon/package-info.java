/** Assembles a daemon from its components and passes each effect to the component that executes it. */
@NullMarked
package org.plantainwharf.daemon;

import org.jspecify.annotations.NullMarked;
