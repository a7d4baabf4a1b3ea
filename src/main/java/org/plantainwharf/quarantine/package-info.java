/** Detection and quarantine of requests that crash backend servers. */
@NullMarked
package org.plantainwharf.quarantine;

import org.jspecify.annotations.NullMarked;
