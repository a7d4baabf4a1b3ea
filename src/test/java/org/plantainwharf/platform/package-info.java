/** Tests of the adapter for the users' platform. */
@NullMarked
package org.plantainwharf.platform;

import org.jspecify.annotations.NullMarked;
