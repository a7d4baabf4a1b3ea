/** Tests of the control group's state and the sheet in force. */
@NullMarked
package org.plantainwharf.configuration;

import org.jspecify.annotations.NullMarked;
