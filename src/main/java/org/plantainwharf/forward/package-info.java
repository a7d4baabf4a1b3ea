/** Control of requests that are forwarded unchanged: routing, account limits, server selection, retries, deadlines. */
@NullMarked
package org.plantainwharf.forward;

import org.jspecify.annotations.NullMarked;
