/** The service document: routes, services, accounts and limits, which an operator submits as one versioned document. */
@NullMarked
package org.plantainwharf.document;

import org.jspecify.annotations.NullMarked;
