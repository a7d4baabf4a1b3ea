/** Adapter for the users' platform: translates its settings, names, formats and calls into the terms of this system. */
@NullMarked
package org.plantainwharf.platform;

import org.jspecify.annotations.NullMarked;
