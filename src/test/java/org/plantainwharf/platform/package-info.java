/** Tests of the translation of the platform's formats. */
@NullMarked
package org.plantainwharf.platform;

import org.jspecify.annotations.NullMarked;
