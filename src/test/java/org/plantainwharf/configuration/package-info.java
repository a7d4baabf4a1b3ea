/** Tests of the sheet in force. */
@NullMarked
package org.plantainwharf.configuration;

import org.jspecify.annotations.NullMarked;
