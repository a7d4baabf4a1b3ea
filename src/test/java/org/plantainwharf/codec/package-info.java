/** Tests of the wire encoding. */
@NullMarked
package org.plantainwharf.codec;

import org.jspecify.annotations.NullMarked;
