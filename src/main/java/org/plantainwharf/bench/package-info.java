/**
 * Benchmarks: the control logic and the replicated log on a virtual clock with simulated servers, networks and disks;
 * processor time, heap and storage in real time.
 */
@NullMarked
package org.plantainwharf.bench;

import org.jspecify.annotations.NullMarked;
