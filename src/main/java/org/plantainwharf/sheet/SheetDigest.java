package org.plantainwharf.sheet;

import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.RankName;
import org.plantainwharf.identity.RouteName;

/**
 * SHA-256 digest of the canonical content of a sheet. It is independent of the order of rows, the separators and the
 * number format. The version is excluded, so that equal content under two versions has the same digest. Stateless;
 * thread-safe.
 */
public final class SheetDigest {
    private SheetDigest() {}

    /** Returns the digest of a sheet's content in lower-case hexadecimal. */
    public static String of(Sheet sheet) {
        return of(sheet.accounts(), sheet.ranks(), sheet.routes(), sheet.budgets());
    }

    /** Returns the digest of an account key in lower-case hexadecimal, as sheets store it. */
    public static String ofKey(String key) {
        return sha256(key);
    }

    static String of(
            Map<AccountName, ClientAccount> accounts,
            Map<RankName, Rank> ranks,
            Map<RouteName, Route> routes,
            List<Budget> budgets) {
        Stream<String> lines = Stream.of(
                        canonicalLines(accounts.values(), SheetDigest::canonicalLine),
                        canonicalLines(ranks.values(), SheetDigest::canonicalLine),
                        canonicalLines(routes.values(), SheetDigest::canonicalLine),
                        canonicalLines(budgets, SheetDigest::canonicalLine))
                .flatMap(part -> part);
        return sha256(lines.collect(Collectors.joining("\n")));
    }

    private static <T> Stream<String> canonicalLines(
            Collection<T> values, java.util.function.Function<? super T, String> toLine) {
        return values.stream().map(toLine).sorted();
    }

    // Values are quoted, so that a value that contains a separator cannot change how the line is split into values.
    private static String canonicalLine(ClientAccount account) {
        String ranks = account.ranks().stream().map(RankName::value).sorted().collect(Collectors.joining("\" \""));
        return quoteAndJoin(
                "account",
                account.name().value(),
                account.keyDigest(),
                canonicalNumber(account.weight()),
                canonicalNumber(account.requestsPerSecond()),
                ranks);
    }

    private static String canonicalLine(Rank rank) {
        return quoteAndJoin(
                "rank",
                rank.name().value(),
                String.valueOf(rank.latencyTargetMillis()),
                String.valueOf(rank.deadlineMillis()),
                canonicalNumber(rank.worth()),
                canonicalNumber(rank.floorShare()));
    }

    private static String canonicalLine(Route route) {
        return quoteAndJoin("route", route.name().value(), route.rank().value(), String.valueOf(route.repeatable()));
    }

    private static String canonicalLine(Budget budget) {
        return quoteAndJoin(
                "budget",
                budget.zone().value(),
                budget.hostClass().value(),
                canonicalNumber(budget.pricePerHour()),
                canonicalNumber(budget.maximumPerHour()),
                String.valueOf(budget.reclaimable()));
    }

    private static String quoteAndJoin(String... values) {
        return Stream.of(values).collect(Collectors.joining("\",\"", "\"", "\""));
    }

    private static String canonicalNumber(double value) {
        return value == 0 ? "0" : BigDecimal.valueOf(value).stripTrailingZeros().toPlainString();
    }

    private static String sha256(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
