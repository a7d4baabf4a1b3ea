/** Right and wrong settings. */
@NullMarked
package org.plantainwharf.settings;

import org.jspecify.annotations.NullMarked;
