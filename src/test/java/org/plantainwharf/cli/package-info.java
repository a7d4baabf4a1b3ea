/** Command lines, exit codes and texts. */
@NullMarked
package org.plantainwharf.cli;

import org.jspecify.annotations.NullMarked;
