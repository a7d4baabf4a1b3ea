/** Test fixtures shared by several packages: settings, sheets, boards and calls. */
@NullMarked
package org.plantainwharf.testing;

import org.jspecify.annotations.NullMarked;
