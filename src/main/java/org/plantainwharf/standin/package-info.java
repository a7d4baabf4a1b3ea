/** Stand-ins for model engines and plain services, for demonstrations and tests. */
@NullMarked
package org.plantainwharf.standin;

import org.jspecify.annotations.NullMarked;
