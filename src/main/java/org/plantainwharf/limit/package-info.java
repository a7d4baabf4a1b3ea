/** Shares of account limits. */
@NullMarked
package org.plantainwharf.limit;

import org.jspecify.annotations.NullMarked;
