/** Tests of the registry of backend servers. */
@NullMarked
package org.plantainwharf.server;

import org.jspecify.annotations.NullMarked;
