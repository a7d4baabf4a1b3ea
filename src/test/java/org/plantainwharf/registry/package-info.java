/** Tests of the server registry. */
@NullMarked
package org.plantainwharf.registry;

import org.jspecify.annotations.NullMarked;
