/** Backend servers as they report themselves, without a list kept by anybody else. */
@NullMarked
package org.plantainwharf.registry;

import org.jspecify.annotations.NullMarked;
