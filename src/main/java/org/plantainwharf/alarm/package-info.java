/** Alarms for service-level objectives at risk. */
@NullMarked
package org.plantainwharf.alarm;

import org.jspecify.annotations.NullMarked;
