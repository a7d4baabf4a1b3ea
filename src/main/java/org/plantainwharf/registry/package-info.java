/** Registry of backend servers, built only from their own reports; there is no configured list of servers. */
@NullMarked
package org.plantainwharf.registry;

import org.jspecify.annotations.NullMarked;
