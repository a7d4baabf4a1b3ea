/** Tests of the package structure and dependencies of the code. */
@NullMarked
package org.plantainwharf.architecture;

import org.jspecify.annotations.NullMarked;
