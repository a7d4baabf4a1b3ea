/** Typed identifiers of hosts, availability zones, backend servers, accounts, ranks, models, routes and requests. */
@NullMarked
package org.plantainwharf.identity;

import org.jspecify.annotations.NullMarked;
