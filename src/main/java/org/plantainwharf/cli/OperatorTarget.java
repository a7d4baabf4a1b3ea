package org.plantainwharf.cli;

import java.nio.file.Path;

/** Source of a daemon's operator address. Immutable. */
public sealed interface OperatorTarget {
    /** An explicit address, for example {@code 10.0.0.1:8081}. */
    record Address(String address) implements OperatorTarget {}

    /** The daemon's settings file, which contains the address. */
    record SettingsFile(Path file) implements OperatorTarget {}
}
