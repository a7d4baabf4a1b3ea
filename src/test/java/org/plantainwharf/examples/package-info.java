/** Tests of the example files and of the tables in the documentation. */
@NullMarked
package org.plantainwharf.examples;

import org.jspecify.annotations.NullMarked;
