/** Tests of requests that are served through another entry daemon. */
@NullMarked
package org.plantainwharf.handover;

import org.jspecify.annotations.NullMarked;
