/** Tests of the quarantine of requests that crash servers. */
@NullMarked
package org.plantainwharf.quarantine;

import org.jspecify.annotations.NullMarked;
