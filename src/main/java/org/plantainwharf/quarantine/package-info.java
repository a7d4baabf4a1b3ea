/** Suspect requests and quarantined fingerprints. */
@NullMarked
package org.plantainwharf.quarantine;

import org.jspecify.annotations.NullMarked;
