/** The examples and the tables in the documents. */
@NullMarked
package org.plantainwharf.examples;

import org.jspecify.annotations.NullMarked;
