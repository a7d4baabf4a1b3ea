/** Requests of an entry daemon that reaches no server of their service, served through another entry daemon. */
@NullMarked
package org.plantainwharf.handover;

import org.jspecify.annotations.NullMarked;
