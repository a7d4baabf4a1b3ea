/** The service document: routes, services, accounts and limits that an operator sets as one versioned whole. */
@NullMarked
package org.plantainwharf.document;

import org.jspecify.annotations.NullMarked;
