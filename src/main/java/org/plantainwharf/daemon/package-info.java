/** Builds one daemon from its parts and hands each effect to the part that carries it out. */
@NullMarked
package org.plantainwharf.daemon;

import org.jspecify.annotations.NullMarked;
