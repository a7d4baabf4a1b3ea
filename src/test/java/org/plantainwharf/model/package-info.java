/** Model checking of the protocols from their specifications. */
@NullMarked
package org.plantainwharf.model;

import org.jspecify.annotations.NullMarked;
