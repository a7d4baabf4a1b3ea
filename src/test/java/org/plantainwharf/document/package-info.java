/** Tests of the service document. */
@NullMarked
package org.plantainwharf.document;

import org.jspecify.annotations.NullMarked;
