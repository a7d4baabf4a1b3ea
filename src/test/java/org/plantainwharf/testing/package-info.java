/** Boards and data that several tests share. */
@NullMarked
package org.plantainwharf.testing;

import org.jspecify.annotations.NullMarked;
