/** The state of the control group, and the sheet in force on this host. */
@NullMarked
package org.plantainwharf.configuration;

import org.jspecify.annotations.NullMarked;
