/** The subcommands of the executable. */
@NullMarked
package org.plantainwharf.cli;

import org.jspecify.annotations.NullMarked;
