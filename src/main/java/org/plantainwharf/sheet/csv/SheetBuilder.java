package org.plantainwharf.sheet.csv;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostClass;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RouteName;
import org.plantainwharf.sheet.Budget;
import org.plantainwharf.sheet.ClientAccount;
import org.plantainwharf.sheet.Rank;
import org.plantainwharf.sheet.Route;
import org.plantainwharf.sheet.Sheet;

/** Builds a sheet from the rows of one file and collects all problems found in them. Used by one thread. */
final class SheetBuilder {
    private static final long MAXIMUM_DURATION_MILLIS = 7L * 24 * 3600 * 1000;
    /** Tolerates the rounding error of decimal fractions in binary floating point. */
    private static final double SHARE_TOLERANCE = 1e-9;

    private final CsvVariant variant;
    private final List<SheetProblem> problems = new ArrayList<>();
    private final Map<SheetSection, Integer> rowsBySection = new HashMap<>();
    private final Map<AccountName, ClientAccount> accounts = new LinkedHashMap<>();
    private final Map<String, String> accountByKeyDigest = new HashMap<>();
    private final Map<RankName, Rank> ranks = new LinkedHashMap<>();
    private final Set<String> rankNames = new LinkedHashSet<>();
    private final Map<RouteName, Route> routes = new LinkedHashMap<>();
    private final Map<String, Budget> budgets = new LinkedHashMap<>();
    private final List<RankReference> rankReferences = new ArrayList<>();
    private Optional<Long> version = Optional.empty();
    private boolean versionSeen;
    private double floorShares;
    private @Nullable SheetSection section;
    private @Nullable Map<String, Integer> columns;
    private boolean skippingSection;

    private SheetBuilder(CsvVariant variant) {
        this.variant = variant;
    }

    /** A cell that refers to a rank; validated after all ranks have been read. */
    private record RankReference(SheetRow row, String header, String rank) {}

    /** Returns a builder without rows. */
    static SheetBuilder create(CsvVariant variant) {
        return new SheetBuilder(variant);
    }

    /** Adds the next row, whose cells must be trimmed and without trailing empty cells. */
    void add(int number, List<String> cells) {
        if (cells.isEmpty()) {
            return;
        }
        String first = cells.get(0);
        SheetSection current = section;
        if (first.startsWith("[")) {
            beginSection(number, cells);
        } else if (first.equalsIgnoreCase("version") && current == null && !skippingSection) {
            readVersion(number, cells);
        } else if (skippingSection) {
            // The invalid title or header was already reported, so the rows of the section cannot be interpreted.
            return;
        } else if (current == null) {
            problems.add(new SheetProblem(
                    number, "A", first, "expected the row version, or the title of a section: " + sectionTitles()));
        } else if (columns == null) {
            readHeaders(current, number, cells);
        } else {
            readRow(current, columns, number, cells);
        }
    }

    /** Returns the sheet, or all problems in order of row. */
    Either<SheetProblems, Sheet> build() {
        if (!versionSeen) {
            problems.add(new SheetProblem(0, "", "", "has no row version before the first section"));
        }
        for (SheetSection wanted : SheetSection.all()) {
            Integer rows = rowsBySection.get(wanted);
            if (rows == null) {
                problems.add(new SheetProblem(0, "", "", "has no section " + wanted.title()));
            } else if (rows == 0 && wanted.requiresRows()) {
                problems.add(new SheetProblem(0, "", "", "has no row in section " + wanted.title()));
            }
        }
        for (RankReference reference : rankReferences) {
            if (!rankNames.contains(reference.rank())) {
                reference
                        .row()
                        .addProblem(reference.header(), "rank " + reference.rank() + " is not in section [ranks]");
            }
        }
        if (!problems.isEmpty() || version.isEmpty()) {
            problems.sort(Comparator.comparingInt(SheetProblem::row));
            return Either.left(new SheetProblems(problems));
        }
        return Either.right(Sheet.create(version.get(), accounts, ranks, routes, List.copyOf(budgets.values())));
    }

    private void beginSection(int number, List<String> cells) {
        Optional<SheetSection> found = SheetSection.withTitle(cells.get(0));
        section = found.orElse(null);
        columns = null;
        skippingSection = found.isEmpty();
        if (found.isEmpty()) {
            problems.add(new SheetProblem(number, "A", cells.get(0), "unknown section; allowed: " + sectionTitles()));
        } else if (rowsBySection.putIfAbsent(found.get(), 0) != null) {
            problems.add(new SheetProblem(number, "A", cells.get(0), "section appears twice"));
        }
        rejectCellsBeyond(1, number, cells);
    }

    private void readVersion(int number, List<String> cells) {
        if (versionSeen) {
            problems.add(new SheetProblem(number, "A", cells.get(0), "version is given twice"));
            return;
        }
        versionSeen = true;
        version = SheetRow.create(number, Map.of("version", 1), cells, variant, problems)
                .integer("version", 1, Long.MAX_VALUE);
        rejectCellsBeyond(2, number, cells);
    }

    private void readHeaders(SheetSection current, int number, List<String> cells) {
        Map<String, Integer> found = new HashMap<>();
        for (int index = 0; index < cells.size(); index++) {
            String header = cells.get(index).toLowerCase(Locale.ROOT).replaceAll("\\s+", " ");
            if (!current.headers().contains(header)) {
                problems.add(new SheetProblem(
                        number,
                        SheetRow.columnLetters(index),
                        cells.get(index),
                        "unknown header in section " + current.title() + "; allowed: "
                                + String.join(", ", current.headers())));
            } else if (found.putIfAbsent(header, index) != null) {
                problems.add(new SheetProblem(
                        number, SheetRow.columnLetters(index), cells.get(index), "header appears twice"));
            }
        }
        boolean complete = true;
        for (String header : current.headers()) {
            if (!found.containsKey(header)) {
                complete = false;
                problems.add(new SheetProblem(
                        number, "", "", "section " + current.title() + " has no column \"" + header + "\""));
            }
        }
        columns = found;
        // If a header is missing, every row would report the same problem again.
        skippingSection = !complete;
    }

    private void readRow(SheetSection current, Map<String, Integer> headerColumns, int number, List<String> cells) {
        rowsBySection.merge(current, 1, Integer::sum);
        SheetRow row = SheetRow.create(number, headerColumns, cells, variant, problems);
        for (int index = 0; index < cells.size(); index++) {
            if (!headerColumns.containsValue(index) && !cells.get(index).isEmpty()) {
                problems.add(new SheetProblem(
                        number,
                        SheetRow.columnLetters(index),
                        redactAccountCell(current, cells.get(index)),
                        "has no header above it"));
            }
        }
        switch (current) {
            case SheetSection.Accounts accountsSection -> readAccount(row);
            case SheetSection.Ranks ranksSection -> readRank(row);
            case SheetSection.Routes routesSection -> readRoute(row);
            case SheetSection.Budgets budgetsSection -> readBudget(row);
        }
    }

    private void readAccount(SheetRow row) {
        Optional<String> name = row.name("name");
        Optional<String> digest = row.keyDigest("key digest");
        Optional<Double> weight = row.positive("weight");
        Optional<Double> limit = row.positive("requests per second");
        Optional<Set<String>> allowed = row.names("ranks");
        allowed.ifPresent(names -> names.forEach(rank -> rankReferences.add(new RankReference(row, "ranks", rank))));
        if (digest.isPresent()) {
            String other = accountByKeyDigest.putIfAbsent(digest.get(), name.orElse("in another row"));
            if (other != null) {
                row.addProblem("key digest", "account " + other + " has the same key");
            }
        }
        if (name.isEmpty() || digest.isEmpty() || weight.isEmpty() || limit.isEmpty() || allowed.isEmpty()) {
            return;
        }
        Set<RankName> rankSet = allowed.get().stream().map(RankName::of).collect(Collectors.toSet());
        ClientAccount account =
                new ClientAccount(AccountName.of(name.get()), digest.get(), weight.get(), limit.get(), rankSet);
        if (accounts.putIfAbsent(account.name(), account) != null) {
            row.addProblem("name", "account appears twice");
        }
    }

    private void readRank(SheetRow row) {
        Optional<String> name = row.name("name");
        Optional<Long> target = row.integer("latency target ms", 1, MAXIMUM_DURATION_MILLIS);
        Optional<Long> deadline = row.integer("deadline ms", 1, MAXIMUM_DURATION_MILLIS);
        Optional<Double> worth = row.positive("worth");
        Optional<Double> floor = row.fraction("floor share");
        if (target.isPresent() && deadline.isPresent() && deadline.get() < target.get()) {
            row.addProblem("deadline ms", "must not be less than the latency target of " + target.get());
        }
        if (floor.isPresent()) {
            floorShares += floor.get();
            if (floorShares > 1 + SHARE_TOLERANCE) {
                row.addProblem("floor share", "the floor shares of all ranks must sum to 1 at most");
            }
        }
        if (name.isPresent() && !rankNames.add(name.get())) {
            row.addProblem("name", "rank appears twice");
        } else if (name.isPresent()
                && target.isPresent()
                && deadline.isPresent()
                && worth.isPresent()
                && floor.isPresent()) {
            RankName rank = RankName.of(name.get());
            ranks.put(rank, new Rank(rank, target.get(), deadline.get(), worth.get(), floor.get()));
        }
    }

    private void readRoute(SheetRow row) {
        Optional<String> name = row.name("name");
        Optional<String> rank = row.name("rank");
        Optional<Boolean> repeatable = row.yesOrNo("repeatable");
        rank.ifPresent(value -> rankReferences.add(new RankReference(row, "rank", value)));
        if (name.isEmpty() || rank.isEmpty() || repeatable.isEmpty()) {
            return;
        }
        Route route = new Route(RouteName.of(name.get()), RankName.of(rank.get()), repeatable.get());
        if (routes.putIfAbsent(route.name(), route) != null) {
            row.addProblem("name", "route appears twice");
        }
    }

    private void readBudget(SheetRow row) {
        Optional<String> zone = row.name("zone");
        Optional<String> hostClass = row.name("host class");
        Optional<Double> price = row.nonNegative("price per hour");
        Optional<Double> maximum = row.nonNegative("maximum per hour");
        Optional<Boolean> reclaimable = row.yesOrNo("reclaimable");
        if (zone.isEmpty() || hostClass.isEmpty() || price.isEmpty() || maximum.isEmpty() || reclaimable.isEmpty()) {
            return;
        }
        Budget budget = new Budget(
                AvailabilityZone.of(zone.get()),
                HostClass.of(hostClass.get()),
                price.get(),
                maximum.get(),
                reclaimable.get());
        if (budgets.putIfAbsent(zone.get() + "/" + hostClass.get(), budget) != null) {
            row.addProblem("host class", "budget of zone " + zone.get() + " and this host class appears twice");
        }
    }

    private void rejectCellsBeyond(int allowed, int number, List<String> cells) {
        for (int index = allowed; index < cells.size(); index++) {
            if (!cells.get(index).isEmpty()) {
                problems.add(
                        new SheetProblem(number, SheetRow.columnLetters(index), cells.get(index), "must be blank"));
            }
        }
    }

    /** Redacts a misplaced cell in the accounts section, since it may contain an account key. */
    private static String redactAccountCell(SheetSection current, String value) {
        return switch (current) {
            case SheetSection.Accounts accountsSection -> "(withheld)";
            case SheetSection.Ranks ranksSection -> value;
            case SheetSection.Routes routesSection -> value;
            case SheetSection.Budgets budgetsSection -> value;
        };
    }

    private static String sectionTitles() {
        return SheetSection.all().stream().map(SheetSection::title).collect(Collectors.joining(", "));
    }
}
