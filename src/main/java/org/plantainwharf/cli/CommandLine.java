package org.plantainwharf.cli;

import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.vavr.control.Either;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.plantainwharf.platform.PlatformCommand;

/** Parses command-line arguments into a {@link Subcommand}. Stateless; thread-safe. */
public final class CommandLine {
    private static final String HELP = "help";
    private static final String SETTINGS = "settings";
    private static final String OPERATOR = "operator";
    private static final String JSON = "json";
    private static final String REQUEST = "request";
    private static final String AGAINST = "against";
    private static final String STRICT = "strict";
    private static final String ROLLOUT = "rollout";
    private static final String SERVICE = "service";
    private static final String TARGET = "target";
    private static final String DURATION = "duration";

    private CommandLine() {}

    /** Returns the subcommand, or an error message with the usage if the arguments are invalid. */
    public static Either<String, Subcommand> parse(String... arguments) {
        List<String> words = Arrays.asList(arguments);
        if (words.isEmpty()) {
            return Either.left("a subcommand is missing\n" + overview(""));
        }
        Optional<SubcommandName> found = SubcommandName.of(words);
        if (found.isPresent()) {
            SubcommandName name = found.get();
            return parse(name, words.subList(name.wordCount(), words.size()));
        }
        String first = words.get(0);
        if (first.equals("--help") || first.equals("-h") || first.equals(HELP)) {
            return Either.right(new Subcommand.Help(overview("")));
        }
        boolean group = Arrays.stream(SubcommandName.values())
                .anyMatch(name -> name.usage().startsWith("plantainwharf " + first + " "));
        if (group && words.size() > 1 && words.get(1).equals("--help")) {
            return Either.right(new Subcommand.Help(overview(first)));
        }
        return Either.left("unknown subcommand: " + words.stream().limit(2).collect(Collectors.joining(" ")) + "\n"
                + overview(group ? first : ""));
    }

    private static Either<String, Subcommand> parse(SubcommandName name, List<String> rest) {
        OptionParser parser = parser(name);
        try {
            OptionSet options = parser.parse(rest.toArray(String[]::new));
            if (options.has(HELP)) {
                return Either.right(new Subcommand.Help(help(name, parser)));
            }
            return toSubcommand(name, options).mapLeft(problem -> problem + "\nusage: " + name.usage());
        } catch (OptionException e) {
            return Either.left(e.getMessage() + "\nusage: " + name.usage());
        }
    }

    private static OptionParser parser(SubcommandName name) {
        OptionParser parser = new OptionParser(false);
        parser.acceptsAll(List.of("h", HELP), "show this help").forHelp();
        return switch (name) {
            case SERVE -> acceptSettings(parser, "settings file of the daemon, in JSON");
            case SHEET_APPLY, SHEET_DIFF, DRAIN -> acceptTarget(parser);
            case SHEET_SHOW, STATUS -> {
                parser.accepts(JSON, "print the JSON response of the daemon unchanged");
                yield acceptTarget(parser);
            }
            case PLATFORM_SERVE ->
                acceptSettings(
                        parser,
                        "settings file; defaults to the one that the platform names in its environment variable");
            case LOG_TRACE -> {
                parser.accepts(REQUEST, "ID of the request to trace")
                        .withRequiredArg()
                        .describedAs("ID");
                parser.accepts(ROLLOUT, "service whose rollouts are traced")
                        .withRequiredArg()
                        .describedAs("SERVICE");
                yield parser;
            }
            case CONFIG_CHECK -> {
                parser.accepts(STRICT, "fail on findings too, not only on errors");
                parser.accepts(AGAINST, "file with the version in force")
                        .withRequiredArg()
                        .describedAs("FILE");
                yield acceptOperator(parser);
            }
            case ROLLOUT_BEGIN -> {
                parser.accepts(TARGET, "software version, as backend servers state it")
                        .withRequiredArg()
                        .describedAs("V");
                parser.accepts(
                                DURATION,
                                "time within which a good version is to be completed, in seconds, at most one day")
                        .withRequiredArg()
                        .describedAs("SECONDS");
                yield acceptRollout(parser);
            }
            case ROLLOUT_SHOW -> {
                parser.accepts(JSON, "print the JSON response of the daemon unchanged");
                yield acceptRollout(parser);
            }
            case SETTINGS_CHECK, SHEET_CHECK, SHEET_KEY, PLATFORM_CHECK, VERSION -> parser;
            case STAND_IN_ENGINE, STAND_IN_SERVICE -> {
                // The stand-ins parse their own options.
                parser.allowsUnrecognizedOptions();
                yield parser;
            }
        };
    }

    private static OptionParser acceptOperator(OptionParser parser) {
        parser.accepts(OPERATOR, "operator address of a daemon, for example 10.0.0.1:8081")
                .withRequiredArg()
                .describedAs("ADDRESS");
        return parser;
    }

    private static OptionParser acceptTarget(OptionParser parser) {
        return acceptSettings(
                acceptOperator(parser), "settings file of the daemon, from which the operator address is read");
    }

    private static OptionParser acceptRollout(OptionParser parser) {
        parser.accepts(SERVICE, "service of the document").withRequiredArg().describedAs("S");
        return acceptOperator(parser);
    }

    private static OptionParser acceptSettings(OptionParser parser, String description) {
        parser.accepts(SETTINGS, description).withRequiredArg().describedAs("FILE");
        return parser;
    }

    private static Either<String, Subcommand> toSubcommand(SubcommandName name, OptionSet options) {
        return switch (name) {
            case SERVE ->
                noFiles(options)
                        .flatMap(none -> options.has(SETTINGS)
                                ? Either.right(new Subcommand.Serve(Path.of(lastValue(options, SETTINGS))))
                                : Either.left("option --settings is missing"));
            case SETTINGS_CHECK -> files(options, 1, Integer.MAX_VALUE).map(Subcommand.SettingsCheck::new);
            case SHEET_CHECK -> files(options, 1, Integer.MAX_VALUE).map(Subcommand.SheetCheck::new);
            case SHEET_DIFF ->
                options.has(OPERATOR) || options.has(SETTINGS)
                        ? files(options, 1, 1)
                                .flatMap(files -> target(
                                        options, target -> new Subcommand.SheetDiffInForce(target, files.get(0))))
                        : files(options, 2, 2).map(files -> new Subcommand.SheetDiff(files.get(0), files.get(1)));
            case SHEET_APPLY ->
                files(options, 1, 1)
                        .flatMap(files -> target(options, target -> new Subcommand.SheetApply(target, files.get(0))));
            case SHEET_SHOW ->
                noFiles(options)
                        .flatMap(
                                none -> target(options, target -> new Subcommand.SheetShow(target, options.has(JSON))));
            case SHEET_KEY -> noFiles(options).map(none -> new Subcommand.SheetKey());
            case STATUS ->
                noFiles(options)
                        .flatMap(none -> target(options, target -> new Subcommand.Status(target, options.has(JSON))));
            case DRAIN -> noFiles(options).flatMap(none -> target(options, Subcommand.Drain::new));
            case ROLLOUT_BEGIN ->
                noFiles(options)
                        .flatMap(none -> required(options, OPERATOR, SERVICE, TARGET, DURATION))
                        .flatMap(none -> seconds(lastValue(options, DURATION)))
                        .map(seconds -> new Subcommand.RolloutBegin(
                                new OperatorTarget.Address(lastValue(options, OPERATOR)),
                                lastValue(options, SERVICE),
                                lastValue(options, TARGET),
                                seconds));
            case ROLLOUT_SHOW ->
                noFiles(options)
                        .flatMap(none -> required(options, OPERATOR, SERVICE))
                        .map(none -> new Subcommand.RolloutShow(
                                new OperatorTarget.Address(lastValue(options, OPERATOR)),
                                lastValue(options, SERVICE),
                                options.has(JSON)));
            case PLATFORM_SERVE -> noFiles(options).flatMap(none -> platformSettings(options));
            case LOG_TRACE ->
                options.has(REQUEST) && options.has(ROLLOUT)
                        ? Either.left("specify either --request or --rollout")
                        : files(options, 1, Integer.MAX_VALUE)
                                .map(files -> new Subcommand.LogTrace(
                                        files, optionalValue(options, REQUEST), optionalValue(options, ROLLOUT)));
            case CONFIG_CHECK -> files(options, 1, 1).flatMap(files -> configCheck(files.get(0), options));
            case PLATFORM_CHECK -> files(options, 1, 1).map(files -> new Subcommand.PlatformCheck(files.get(0)));
            case VERSION -> noFiles(options).map(none -> new Subcommand.Version());
            case STAND_IN_ENGINE -> Either.right(new Subcommand.StandInEngine(positionalArguments(options)));
            case STAND_IN_SERVICE -> Either.right(new Subcommand.StandInService(positionalArguments(options)));
        };
    }

    private static Either<String, Subcommand> configCheck(Path file, OptionSet options) {
        if (options.has(OPERATOR) && options.has(AGAINST)) {
            return Either.left("specify at most one of --operator and --against");
        }
        Subcommand.ConfigCheck.Reference reference = new Subcommand.ConfigCheck.Reference.None();
        if (options.has(OPERATOR)) {
            reference = new Subcommand.ConfigCheck.Reference.InForce(
                    new OperatorTarget.Address(lastValue(options, OPERATOR)));
        } else if (options.has(AGAINST)) {
            reference = new Subcommand.ConfigCheck.Reference.InFile(Path.of(lastValue(options, AGAINST)));
        }
        return Either.right(new Subcommand.ConfigCheck(file, reference, options.has(STRICT)));
    }

    private static Either<String, Subcommand> platformSettings(OptionSet options) {
        Optional<String> file = options.has(SETTINGS)
                ? Optional.of(lastValue(options, SETTINGS))
                : Optional.ofNullable(System.getenv(PlatformCommand.SETTINGS_VARIABLE));
        return file.<Either<String, Subcommand>>map(path -> Either.right(new Subcommand.PlatformServe(Path.of(path))))
                .orElseGet(() -> Either.left("option --settings is missing and the environment variable is not set: "
                        + PlatformCommand.SETTINGS_VARIABLE));
    }

    private static Either<String, Subcommand> target(
            OptionSet options, Function<OperatorTarget, Subcommand> subcommand) {
        if (options.has(OPERATOR) == options.has(SETTINGS)) {
            return Either.left("specify either --operator or --settings");
        }
        OperatorTarget target = options.has(OPERATOR)
                ? new OperatorTarget.Address(lastValue(options, OPERATOR))
                : new OperatorTarget.SettingsFile(Path.of(lastValue(options, SETTINGS)));
        return Either.right(subcommand.apply(target));
    }

    private static Either<String, OptionSet> required(OptionSet options, String... names) {
        return Arrays.stream(names)
                .filter(name -> !options.has(name) || lastValue(options, name).isBlank())
                .findFirst()
                .<Either<String, OptionSet>>map(name -> Either.left("option --" + name + " is missing"))
                .orElseGet(() -> Either.right(options));
    }

    private static Either<String, Double> seconds(String text) {
        try {
            double seconds = Double.parseDouble(text);
            return Double.isFinite(seconds) && seconds > 0
                    ? Either.right(seconds)
                    : Either.left("--duration must be a number of seconds above 0, got " + text);
        } catch (NumberFormatException e) {
            return Either.left("--duration must be a number of seconds above 0, got " + text);
        }
    }

    private static Optional<String> optionalValue(OptionSet options, String option) {
        return options.has(option) ? Optional.of(lastValue(options, option)) : Optional.empty();
    }

    private static String lastValue(OptionSet options, String option) {
        List<?> values = options.valuesOf(option);
        return String.valueOf(values.get(values.size() - 1));
    }

    private static List<String> positionalArguments(OptionSet options) {
        return options.nonOptionArguments().stream().map(String::valueOf).toList();
    }

    private static Either<String, List<Path>> noFiles(OptionSet options) {
        return files(options, 0, 0);
    }

    private static Either<String, List<Path>> files(OptionSet options, int minimum, int maximum) {
        List<Path> files = options.nonOptionArguments().stream()
                .map(argument -> Path.of(String.valueOf(argument)))
                .toList();
        if (files.size() < minimum) {
            return Either.left("a file is missing");
        }
        return files.size() > maximum ? Either.left("unexpected argument: " + files.get(maximum)) : Either.right(files);
    }

    private static String help(SubcommandName name, OptionParser parser) {
        StringWriter text = new StringWriter();
        text.write("usage: " + name.usage() + "\n" + name.description() + "\n\n");
        try {
            parser.printHelpOn(text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static String overview(String group) {
        StringBuilder text = new StringBuilder("usage: plantainwharf SUBCOMMAND ...; each has --help\n");
        for (SubcommandName name : SubcommandName.values()) {
            if (!name.hidden() && name.usage().startsWith(("plantainwharf " + group).strip())) {
                text.append(String.format("  %-58s %s%n", name.usage(), name.description()));
            }
        }
        return text.toString();
    }
}
