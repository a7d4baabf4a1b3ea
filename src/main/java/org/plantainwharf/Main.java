package org.plantainwharf;

/** Entry point of the executable. */
public final class Main {
    private Main() {}

    /** Runs a subcommand and exits with its status. */
    public static void main(String[] arguments) {
        System.exit(2);
    }
}
