@NullMarked
package org.plantainwharf.room;

import org.jspecify.annotations.NullMarked;
