/** What daemons have seen of backend servers, shared among them. */
@NullMarked
package org.plantainwharf.observation;

import org.jspecify.annotations.NullMarked;
