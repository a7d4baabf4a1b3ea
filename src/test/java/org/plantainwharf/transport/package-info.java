/** Tests of the links between daemons, over loopback sockets. */
@NullMarked
package org.plantainwharf.transport;

import org.jspecify.annotations.NullMarked;
