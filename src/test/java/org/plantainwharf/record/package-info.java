/** Tests of the records of orders and accepted work. */
@NullMarked
package org.plantainwharf.record;

import org.jspecify.annotations.NullMarked;
