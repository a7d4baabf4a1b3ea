package org.plantainwharf.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Properties;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import org.plantainwharf.daemon.Daemon;
import org.plantainwharf.document.DocumentCheck;
import org.plantainwharf.document.DocumentDifference;
import org.plantainwharf.document.DocumentFinding;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.platform.PlatformCommand;
import org.plantainwharf.platform.RolloutCalls;
import org.plantainwharf.settings.Settings;
import org.plantainwharf.settings.SettingsProblems;
import org.plantainwharf.settings.SettingsReader;
import org.plantainwharf.settings.SettingsRules;
import org.plantainwharf.sheet.Sheet;
import org.plantainwharf.sheet.SheetDifference;
import org.plantainwharf.sheet.SheetDigest;
import org.plantainwharf.sheet.csv.SheetParser;
import org.plantainwharf.standin.StandInEngine;
import org.plantainwharf.standin.StandInService;

/** Executes subcommands. Results go to standard output, warnings and errors to standard error. Used by one thread. */
public final class SubcommandRunner {
    private static final JsonMapper MAPPER = new JsonMapper();
    private static final int KEY_BUFFER_CHARACTERS = 4096;

    private final Console console;

    private SubcommandRunner(Console console) {
        this.console = console;
    }

    /** Parses and executes a command line. */
    public static ExitCode run(Console console, String... arguments) {
        Either<String, Subcommand> subcommand = CommandLine.parse(arguments);
        if (subcommand.isLeft()) {
            console.errors().println(subcommand.getLeft().stripTrailing());
            return ExitCode.USAGE;
        }
        ExitCode exitCode = new SubcommandRunner(console).run(subcommand.get());
        console.output().flush();
        return exitCode;
    }

    private ExitCode run(Subcommand subcommand) {
        return switch (subcommand) {
            case Subcommand.Serve serve -> serve(serve.settings());
            case Subcommand.SettingsCheck check -> settingsCheck(check.files());
            case Subcommand.SheetCheck check -> sheetCheck(check.files());
            case Subcommand.SheetDiff diff -> sheetDiff(diff);
            case Subcommand.SheetDiffInForce diff -> sheetDiffInForce(diff);
            case Subcommand.SheetApply apply -> sheetApply(apply);
            case Subcommand.SheetShow show ->
                queryDaemon(show.target(), client -> client.get("/admin/sheet"), show.json(), SheetFormatter::format);
            case Subcommand.SheetKey key -> sheetKey();
            case Subcommand.Status status ->
                queryDaemon(
                        status.target(), client -> client.get("/admin/status"), status.json(), StatusFormatter::format);
            case Subcommand.Drain drain -> drain(drain.target());
            case Subcommand.RolloutBegin begin -> rolloutBegin(begin);
            case Subcommand.RolloutShow show ->
                queryDaemon(
                        show.target(),
                        client -> client.get(RolloutCalls.readPath(show.service())),
                        show.json(),
                        answer -> RolloutCalls.describe(show.service(), answer));
            case Subcommand.PlatformServe serve ->
                PlatformCommand.serve(serve.settings(), console.output(), HangupSignal::setHandler)
                        .fold(failure -> fail(failure.message()), stopped -> ExitCode.OK);
            case Subcommand.PlatformCheck check ->
                PlatformCommand.check(check.file()).fold(failure -> fail(failure.message()), this::succeed);
            case Subcommand.ConfigCheck check -> configCheck(check);
            case Subcommand.LogTrace trace ->
                trace.request()
                        .map(id -> LogTrace.traceRequest(trace.files(), id))
                        .or(() -> trace.service().map(service -> LogTrace.traceRollouts(trace.files(), service)))
                        .orElseGet(() -> LogTrace.countEvents(trace.files()))
                        .fold(this::fail, this::succeed);
            case Subcommand.Version version -> version();
            case Subcommand.StandInEngine standIn ->
                ExitCode.of(StandInEngine.run(standIn.arguments().toArray(String[]::new)));
            case Subcommand.StandInService standIn ->
                ExitCode.of(StandInService.run(standIn.arguments().toArray(String[]::new)));
            case Subcommand.Help help -> succeed(help.text());
        };
    }

    private ExitCode configCheck(Subcommand.ConfigCheck check) {
        Either<String, ServiceDocument> document = readDocument(check.file());
        if (document.isLeft()) {
            return fail(document.getLeft());
        }
        List<DocumentFinding> findings = DocumentCheck.findings(document.get());
        findings.forEach(finding -> console.errors().println(check.file() + ": " + DocumentFormatter.format(finding)));
        Either<String, Optional<ServiceDocument>> reference =
                switch (check.reference()) {
                    case Subcommand.ConfigCheck.Reference.None none -> Either.right(Optional.empty());
                    case Subcommand.ConfigCheck.Reference.InFile before ->
                        readDocument(before.file()).map(Optional::of);
                    case Subcommand.ConfigCheck.Reference.InForce running ->
                        callDaemon(running.target(), client -> client.get(PlatformCommand.documentPath()))
                                .flatMap(body -> PlatformCommand.readDocument(body.getBytes(StandardCharsets.UTF_8))
                                        .mapLeft(failure -> "version in force: " + failure.message()))
                                .map(Optional::of);
                };
        if (reference.isLeft()) {
            return fail(reference.getLeft());
        }
        boolean superseded = reference
                .get()
                .filter(before -> before.version() >= document.get().version())
                .isPresent();
        reference.get().ifPresent(before -> console.output()
                .print(DocumentFormatter.format(DocumentDifference.between(before, document.get()))));
        if (superseded) {
            console.errors()
                    .println(check.file() + ": superseded: its version is not higher than the version in force, so it"
                            + " would be acknowledged and change nothing");
        }
        console.output()
                .println(check.file() + ": valid, version " + document.get().version());
        return check.strict() && (superseded || !findings.isEmpty()) ? ExitCode.FAILED : ExitCode.OK;
    }

    private static Either<String, ServiceDocument> readDocument(Path file) {
        return readBytes(file).flatMap(bytes -> PlatformCommand.readDocument(bytes)
                .mapLeft(failure -> prefixLines(file, failure.message().replace("; ", "\n"))));
    }

    private ExitCode serve(Path file) {
        return readSettings(file).fold(this::fail, settings -> {
            SettingsRules.warnings(settings).forEach(warning -> console.errors().println("warning: " + warning));
            return Daemon.start(settings).fold(failure -> fail(failure.message()), this::serveUntilStopped);
        });
    }

    private ExitCode serveUntilStopped(Daemon daemon) {
        try {
            daemon.serveUntilStopped();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return fail("interrupted while serving");
        }
        return ExitCode.OK;
    }

    private ExitCode settingsCheck(List<Path> files) {
        ExitCode exitCode = ExitCode.OK;
        Map<String, Settings> settingsByFile = new LinkedHashMap<>();
        for (Path file : files) {
            Either<SettingsProblems, Settings> result = SettingsReader.read(file);
            if (result.isLeft()) {
                exitCode = fail(prefixLines(file, result.getLeft().text()));
            } else {
                SettingsRules.warnings(result.get())
                        .forEach(warning -> console.errors().println(file + ": warning: " + warning));
                console.output().println(file + ": ok");
                settingsByFile.put(file.toString(), result.get());
            }
        }
        List<String> conflicts = SettingsRules.conflicts(settingsByFile);
        return conflicts.isEmpty() ? exitCode : fail(String.join("\n", conflicts));
    }

    private ExitCode sheetCheck(List<Path> files) {
        ExitCode exitCode = ExitCode.OK;
        for (Path file : files) {
            Either<String, Sheet> sheet = readSheet(file);
            if (sheet.isLeft()) {
                exitCode = fail(sheet.getLeft());
            } else {
                console.output()
                        .println(file + ": ok, version " + sheet.get().version() + ", digest "
                                + sheet.get().digest());
            }
        }
        return exitCode;
    }

    private ExitCode sheetDiff(Subcommand.SheetDiff diff) {
        return readSheet(diff.before())
                .flatMap(before -> readSheet(diff.after()).map(after -> SheetDifference.between(before, after)))
                .fold(this::fail, difference -> succeed(SheetFormatter.format(difference)));
    }

    private ExitCode sheetDiffInForce(Subcommand.SheetDiffInForce diff) {
        return readSheet(diff.after())
                .flatMap(after -> callDaemon(diff.target(), client -> client.get("/admin/sheet"))
                        .flatMap(SubcommandRunner::parseJson)
                        .map(answer -> SheetFormatter.formatChangesFromInForce(
                                SheetResponseReader.read(answer, after), after)))
                .fold(this::fail, this::succeed);
    }

    private ExitCode sheetApply(Subcommand.SheetApply apply) {
        // Validates the file locally first, so that all problems are reported with the file name even if no daemon is
        // reachable.
        return readSheet(apply.file())
                .flatMap(sheet -> readBytes(apply.file()))
                .flatMap(bytes -> callDaemon(apply.target(), client -> client.post("/admin/sheet", "text/csv", bytes)
                        .mapLeft(problem -> problem + "\napplying the same file again is safe")))
                .fold(this::fail, this::succeed);
    }

    private ExitCode sheetKey() {
        try {
            BufferedReader reader = new BufferedReader(
                    new InputStreamReader(console.input(), StandardCharsets.UTF_8), KEY_BUFFER_CHARACTERS);
            String key = reader.readLine();
            if (key == null || key.isBlank()) {
                return fail("standard input contains no key");
            }
            if (!key.equals(key.strip())) {
                return fail("the key must not begin or end with white space");
            }
            return succeed(SheetDigest.ofKey(key));
        } catch (IOException e) {
            return fail("cannot read standard input: " + e.getMessage());
        }
    }

    private ExitCode drain(OperatorTarget target) {
        return callDaemon(target, client -> client.post("/admin/drain", "text/plain", new byte[0]))
                .fold(this::fail, this::succeed);
    }

    private ExitCode rolloutBegin(Subcommand.RolloutBegin begin) {
        byte[] order = RolloutCalls.order(begin.service(), begin.version(), begin.durationSeconds());
        return callDaemon(begin.target(), client -> client.post(RolloutCalls.BEGIN_PATH, "application/json", order)
                        .mapLeft(problem -> problem + "\ngiving the same order again to any control daemon is safe"))
                .flatMap(SubcommandRunner::parseJson)
                .map(answer -> "rollout " + answer.path("number").asLong() + " of " + begin.service() + " to version "
                        + begin.version() + " is ordered")
                .fold(this::fail, this::succeed);
    }

    private ExitCode version() {
        Properties properties = new Properties();
        try (InputStream stream = SubcommandRunner.class.getResourceAsStream(
                "/META-INF/maven/org.plantainwharf/plantainwharf/pom.properties")) {
            if (stream != null) {
                properties.load(stream);
            }
        } catch (IOException e) {
            return fail("cannot read version: " + e.getMessage());
        }
        return succeed("plantainwharf " + properties.getProperty("version", "(not packaged)") + " on Java "
                + Runtime.version());
    }

    private ExitCode queryDaemon(
            OperatorTarget target,
            Function<OperatorClient, Either<String, String>> request,
            boolean rawOutput,
            Function<JsonNode, String> formatter) {
        return callDaemon(target, request)
                .flatMap(
                        body -> rawOutput ? Either.right(body) : parseJson(body).map(formatter))
                .fold(this::fail, this::succeed);
    }

    private static Either<String, JsonNode> parseJson(String body) {
        try {
            return Either.right(MAPPER.readTree(body));
        } catch (JsonProcessingException e) {
            return Either.left("response of the daemon is not valid JSON: " + e.getOriginalMessage());
        }
    }

    private static Either<String, String> callDaemon(
            OperatorTarget target, Function<OperatorClient, Either<String, String>> request) {
        Either<String, String> address =
                switch (target) {
                    case OperatorTarget.Address given -> Either.right(given.address());
                    case OperatorTarget.SettingsFile given ->
                        readSettings(given.file()).map(Settings::operatorAddress);
                };
        return address.flatMap(known -> {
            try (OperatorClient client = OperatorClient.open(known)) {
                return request.apply(client);
            }
        });
    }

    private static Either<String, Settings> readSettings(Path file) {
        return SettingsReader.read(file).mapLeft(problems -> prefixLines(file, problems.text()));
    }

    private static Either<String, Sheet> readSheet(Path file) {
        return readBytes(file)
                .flatMap(bytes -> SheetParser.parse(bytes).mapLeft(problems -> prefixLines(file, problems.text())));
    }

    private static Either<String, byte[]> readBytes(Path file) {
        try {
            return Either.right(Files.readAllBytes(file));
        } catch (IOException e) {
            return Either.left(file + ": cannot read file: " + e.getClass().getSimpleName());
        }
    }

    private static String prefixLines(Path file, String lines) {
        return file + ": " + lines.replace("\n", "\n" + file + ": ");
    }

    private ExitCode succeed(String text) {
        console.output().println(text.stripTrailing());
        return ExitCode.OK;
    }

    private ExitCode fail(String text) {
        console.errors().println(text.stripTrailing());
        return ExitCode.FAILED;
    }
}
