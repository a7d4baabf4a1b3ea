/** Tests of alarms. */
@NullMarked
package org.plantainwharf.alarm;

import org.jspecify.annotations.NullMarked;
