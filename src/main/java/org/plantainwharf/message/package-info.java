/** Messages between daemons, independent of their encoding. */
@NullMarked
package org.plantainwharf.message;

import org.jspecify.annotations.NullMarked;
