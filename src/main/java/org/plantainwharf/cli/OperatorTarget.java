package org.plantainwharf.cli;

import java.nio.file.Path;

/** Where to find a daemon's operator address. Immutable. */
public sealed interface OperatorTarget {
    /** The address itself, for example {@code 10.0.0.1:8081}. */
    record Address(String address) implements OperatorTarget {}

    /** The settings file of the daemon. */
    record SettingsFile(Path file) implements OperatorTarget {}
}
