/** Tests of the HTTP clients for backend servers. */
@NullMarked
package org.plantainwharf.backend;

import org.jspecify.annotations.NullMarked;
