/** Model checking of the protocol specifications. */
@NullMarked
package org.plantainwharf.model;

import org.jspecify.annotations.NullMarked;
