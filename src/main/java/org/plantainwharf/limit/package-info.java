/** Account limits over all hosts and daemons, and how they are divided. */
@NullMarked
package org.plantainwharf.limit;

import org.jspecify.annotations.NullMarked;
