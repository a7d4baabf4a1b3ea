/** Fixture shared by the tests of decision packages. */
@NullMarked
package org.plantainwharf.decision;

import org.jspecify.annotations.NullMarked;
