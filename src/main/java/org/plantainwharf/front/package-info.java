/** The HTTP servers for callers, backend announcements and operators. */
@NullMarked
package org.plantainwharf.front;

import org.jspecify.annotations.NullMarked;
