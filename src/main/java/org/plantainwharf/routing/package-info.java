/** Learned speeds and prefix hints of backend servers. */
@NullMarked
package org.plantainwharf.routing;

import org.jspecify.annotations.NullMarked;
