/** Tests of what daemons share about servers. */
@NullMarked
package org.plantainwharf.observation;

import org.jspecify.annotations.NullMarked;
