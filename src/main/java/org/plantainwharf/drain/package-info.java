/** Drain: a stop of the daemon that lets running requests end. */
@NullMarked
package org.plantainwharf.drain;

import org.jspecify.annotations.NullMarked;
