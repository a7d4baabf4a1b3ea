/** Messages between daemons, as data without encoding. */
@NullMarked
package org.plantainwharf.message;

import org.jspecify.annotations.NullMarked;
