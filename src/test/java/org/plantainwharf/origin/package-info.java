@NullMarked
package org.plantainwharf.origin;

import org.jspecify.annotations.NullMarked;
