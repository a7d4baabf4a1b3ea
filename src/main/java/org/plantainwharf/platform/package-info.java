/** The users' platform: its settings, names, formats and calls, translated into the words of the product. */
@NullMarked
package org.plantainwharf.platform;

import org.jspecify.annotations.NullMarked;
