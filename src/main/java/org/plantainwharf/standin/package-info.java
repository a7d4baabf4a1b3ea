/** Stand-ins for model engines and plain services, used in demonstrations and tests. */
@NullMarked
package org.plantainwharf.standin;

import org.jspecify.annotations.NullMarked;
