/** Tests of the registry of backend servers. */
@NullMarked
package org.plantainwharf.registry;

import org.jspecify.annotations.NullMarked;
