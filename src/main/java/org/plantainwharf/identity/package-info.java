/** Typed identifiers of hosts, availability zones, servers, accounts, routes and requests. */
@NullMarked
package org.plantainwharf.identity;

import org.jspecify.annotations.NullMarked;
