package org.plantainwharf.sheet.csv;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** A section of a sheet file, with its title and column headers. Immutable. */
sealed interface SheetSection {
    /** Client accounts. */
    record Accounts() implements SheetSection {}

    /** Ranks of requests. */
    record Ranks() implements SheetSection {}

    /** Routes to plain services. */
    record Routes() implements SheetSection {}

    /** Cost budgets. */
    record Budgets() implements SheetSection {}

    /** Returns all sections in the order in which they are written. */
    static List<SheetSection> all() {
        return List.of(new Accounts(), new Ranks(), new Routes(), new Budgets());
    }

    /** Returns the section with a title such as {@code [accounts]}, ignoring case, or empty if there is none. */
    static Optional<SheetSection> withTitle(String title) {
        String lower = title.toLowerCase(Locale.ROOT);
        return all().stream().filter(section -> section.title().equals(lower)).findFirst();
    }

    /** Returns the title that the first cell of the section contains. */
    default String title() {
        return switch (this) {
            case Accounts accounts -> "[accounts]";
            case Ranks ranks -> "[ranks]";
            case Routes routes -> "[routes]";
            case Budgets budgets -> "[budgets]";
        };
    }

    /** Returns the column headers in the order in which they are written; files may use any order. */
    default List<String> headers() {
        return switch (this) {
            case Accounts accounts -> List.of("name", "key digest", "weight", "requests per second", "ranks");
            case Ranks ranks -> List.of("name", "latency target ms", "deadline ms", "worth", "floor share");
            case Routes routes -> List.of("name", "rank", "repeatable");
            case Budgets budgets -> List.of("zone", "host class", "price per hour", "maximum per hour", "reclaimable");
        };
    }

    /** Returns whether the section must contain at least one row. */
    default boolean requiresRows() {
        return switch (this) {
            case Accounts accounts -> true;
            case Ranks ranks -> true;
            case Routes routes -> false;
            case Budgets budgets -> false;
        };
    }
}
