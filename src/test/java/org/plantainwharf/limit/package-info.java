/** Tests of account limits over all hosts and daemons. */
@NullMarked
package org.plantainwharf.limit;

import org.jspecify.annotations.NullMarked;
