/** Command-line interface: argument parsing, execution of subcommands and formatting of their output. */
@NullMarked
package org.plantainwharf.cli;

import org.jspecify.annotations.NullMarked;
