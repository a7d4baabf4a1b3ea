package org.plantainwharf.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Either;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against command lines that are parsed incorrectly, or rejected without a message that shows the usage. */
class CommandLineTest {
    private static final OperatorTarget ADDRESS = new OperatorTarget.Address("127.0.0.1:1");

    private static Subcommand parsed(String line) {
        Either<String, Subcommand> result = CommandLine.parse(line.split(" "));
        assertTrue(result.isRight(), () -> result.getLeft());
        return result.get();
    }

    @Nested
    class ValidArguments {
        @Test
        void parseIntoSubcommands() {
            Path file = Path.of("f");
            assertEquals(new Subcommand.Serve(file), parsed("serve --settings f"));
            assertEquals(new Subcommand.SettingsCheck(List.of(file, Path.of("g"))), parsed("settings check f g"));
            assertEquals(new Subcommand.SheetCheck(List.of(file)), parsed("sheet check f"));
            assertEquals(new Subcommand.SheetDiff(file, Path.of("g")), parsed("sheet diff f g"));
            assertEquals(new Subcommand.SheetDiffInForce(ADDRESS, file), parsed("sheet diff --operator 127.0.0.1:1 f"));
            assertEquals(new Subcommand.SheetApply(ADDRESS, file), parsed("sheet apply --operator 127.0.0.1:1 f"));
            assertEquals(new Subcommand.SheetApply(ADDRESS, file), parsed("sheet apply f --operator=127.0.0.1:1"));
            assertEquals(new Subcommand.SheetShow(ADDRESS, true), parsed("sheet show --json --operator 127.0.0.1:1"));
            assertEquals(new Subcommand.SheetKey(), parsed("sheet key"));
            assertEquals(
                    new Subcommand.Status(new OperatorTarget.SettingsFile(file), false), parsed("status --settings f"));
            assertEquals(new Subcommand.Drain(ADDRESS), parsed("drain --operator 127.0.0.1:1"));
            assertEquals(new Subcommand.Version(), parsed("version"));
            assertEquals(
                    new Subcommand.RolloutBegin(new OperatorTarget.Address("127.0.0.1:1"), "s", "v2", 1.5),
                    parsed("rollout begin --operator 127.0.0.1:1 --service s --target v2 --duration 1.5"));
            assertEquals(
                    new Subcommand.RolloutShow(new OperatorTarget.Address("127.0.0.1:1"), "s", false),
                    parsed("rollout show --operator 127.0.0.1:1 --service s"));
            assertEquals(
                    new Subcommand.LogTrace(List.of(file), Optional.empty(), Optional.of("s")),
                    parsed("log trace f --rollout s"));
            assertEquals(
                    new Subcommand.ConfigCheck(file, new Subcommand.ConfigCheck.Reference.None(), false),
                    parsed("config check f"));
            assertEquals(
                    new Subcommand.ConfigCheck(
                            file,
                            new Subcommand.ConfigCheck.Reference.InForce(new OperatorTarget.Address("127.0.0.1:1")),
                            true),
                    parsed("config check --operator 127.0.0.1:1 --strict f"));
            assertEquals(
                    new Subcommand.ConfigCheck(file, new Subcommand.ConfigCheck.Reference.InFile(Path.of("g")), false),
                    parsed("config check --against g f"));
        }

        @Test
        void compareAConfigWithOneReferenceOnly() {
            assertTrue(CommandLine.parse("config", "check", "--operator", "127.0.0.1:1", "--against", "g", "f")
                    .isLeft());
        }

        @ParameterizedTest
        @EnumSource(SubcommandName.class)
        void withHelpOptionShowSubcommandUsage(SubcommandName name) {
            String words = name.usage().replaceFirst("plantainwharf ", "").replaceAll(" (--|\\[|[A-Z]).*", "");
            Subcommand.Help help = assertInstanceOf(Subcommand.Help.class, parsed(words + " --help"));
            assertTrue(help.text().contains(name.usage()), help::text);
        }

        @ParameterizedTest
        @ValueSource(strings = {"--help", "-h", "help"})
        void forHelpListAllSubcommandsExceptStandIns(String line) {
            Subcommand.Help help = assertInstanceOf(Subcommand.Help.class, parsed(line));
            for (SubcommandName name : SubcommandName.values()) {
                assertEquals(!name.hidden(), help.text().contains(name.usage()), help::text);
            }
        }

        @Test
        void ofStandInsAreForwardedUnparsed() {
            assertEquals(new Subcommand.StandInEngine(List.of("--slots", "2")), parsed("stand-in-engine --slots 2"));
            assertEquals(new Subcommand.StandInService(List.of("--port", "0")), parsed("stand-in-service --port 0"));
        }
    }

    @Nested
    class InvalidArguments {
        @ParameterizedTest
        @CsvSource(delimiter = '|', textBlock = """
                launch                            | unknown subcommand: launch
                sheet                             | unknown subcommand: sheet
                sheet burn                        | unknown subcommand: sheet burn
                serve                             | --settings is missing
                rollout                           | unknown subcommand: rollout
                rollout begin --operator 1:1 --service s --target v | option --duration is missing
                rollout begin --operator 1:1 --service s --target v --duration soon | --duration must be a number of seconds above 0
                rollout begin --operator 1:1 --service s --target v --duration -1 | --duration must be a number of seconds above 0
                rollout begin --operator 1:1 --service s --target v --duration NaN | --duration must be a number of seconds above 0
                rollout begin --service s --target v --duration 1 | option --operator is missing
                rollout show --operator 1:1       | option --service is missing
                rollout show --operator 1:1 --service s f | unexpected argument: f
                log trace f --request r --rollout s | specify either --request or --rollout
                serve --setings f                 | setings is not a recognized option
                serve --settings                  | requires an argument
                serve --settings f g              | unexpected argument: g
                sheet diff f                      | a file is missing
                sheet diff f g h                  | unexpected argument: h
                sheet apply f                     | either --operator or --settings
                sheet apply --operator 127.0.0.1:1| a file is missing
                status --operator a --settings f  | either --operator or --settings
                status                            | either --operator or --settings
                version now                       | unexpected argument: now
                """)
        void areRejectedWithUsage(String line, String message) {
            Either<String, Subcommand> result = CommandLine.parse(line.split(" "));
            assertTrue(result.isLeft(), line);
            assertTrue(result.getLeft().contains(message), result::getLeft);
            assertTrue(result.getLeft().contains("usage: plantainwharf"), result::getLeft);
        }

        @Test
        void areRejectedWhenEmpty() {
            assertTrue(CommandLine.parse().isLeft());
        }
    }
}
