/** Decisions on requests that are passed on unchanged: route, limit, server, retry, end. */
@NullMarked
package org.plantainwharf.forward;

import org.jspecify.annotations.NullMarked;
