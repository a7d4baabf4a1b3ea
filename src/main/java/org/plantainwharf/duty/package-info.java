/**
 * Duties that only one daemon, the duty holder, performs at a time: reports of usage and orders of servers to the cloud
 * API.
 */
@NullMarked
package org.plantainwharf.duty;

import org.jspecify.annotations.NullMarked;
