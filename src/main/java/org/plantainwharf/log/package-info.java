/** Structured logging. */
@NullMarked
package org.plantainwharf.log;

import org.jspecify.annotations.NullMarked;
