/** Tests of limits over all hosts. */
@NullMarked
package org.plantainwharf.limit;

import org.jspecify.annotations.NullMarked;
