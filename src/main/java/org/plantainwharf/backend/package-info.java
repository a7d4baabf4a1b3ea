/** The HTTP client towards backend servers. */
@NullMarked
package org.plantainwharf.backend;

import org.jspecify.annotations.NullMarked;
