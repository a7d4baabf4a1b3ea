/** HTTP header definitions shared by the caller-facing servers and the backend client. */
@NullMarked
package org.plantainwharf.http;

import org.jspecify.annotations.NullMarked;
