/** Calls: requests of callers as data, with the stages of their processing. */
@NullMarked
package org.plantainwharf.call;

import org.jspecify.annotations.NullMarked;
