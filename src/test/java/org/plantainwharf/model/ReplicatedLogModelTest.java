package org.plantainwharf.model;

import java.nio.file.Path;
import java.util.List;

import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.parser.CompModule;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import kodkod.engine.satlab.SATFactory;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Checks the specifications in {@code src/test/resources/model} with the bounded model checker Alloy and its pure Java
 * solver. Guards against protocol changes that lose committed or acknowledged data, elect two leaders in a term, run a
 * call twice or revert a sheet version.
 *
 * <p>Scopes: for the replicated log four identities (three initial voters and one replacement), 2 or 3 terms, the first
 * with an elected leader, 1 or 2 log indexes and traces of 6 to 8 states; for the state machines 4 keys, requests,
 * versions and digests (3 in the variants without a rule) and traces of 8 states; for seeded groups 4 or 5 disks, 3
 * values and traces of 6 to 8 states. Shorter traces are included, because a state may repeat. The checks prove nothing
 * about larger scopes. For every rule there is also a variant without it, which must have a counterexample.
 */
@Tag("model-checking")
class ReplicatedLogModelTest {
    private static final Path FOLDER = Path.of("src", "test", "resources", "model");

    private static boolean satisfiable(String file, String label) {
        CompModule module = CompUtil.parseEverything_fromFile(
                A4Reporter.NOP, null, FOLDER.resolve(file).toString());
        A4Options options = new A4Options();
        options.solver = SATFactory.DEFAULT;
        List<Command> commands = module.getAllCommands().stream()
                .filter(command -> command.label.equals(label))
                .toList();
        return TranslateAlloyToKodkod.execute_command(
                        A4Reporter.NOP, module.getAllReachableSigs(), commands.getFirst(), options)
                .satisfiable();
    }

    @Nested
    class Rules {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "electionSafetyHolds",
                    "committedKeptHolds",
                    "committedKeptOverTwoEntries",
                    "lostNeverVotesHolds"
                })
        void ofTheLogHaveNoCounterexample(String check) {
            assertEquals(false, satisfiable("replicated_log.als", check));
        }

        @ParameterizedTest
        @ValueSource(strings = {"atMostOnceHolds", "versionDecidedOnceHolds", "neverRevertsHolds"})
        void ofTheStateMachinesHaveNoCounterexample(String check) {
            assertEquals(false, satisfiable("replicated_state.als", check));
        }

        @ParameterizedTest
        @ValueSource(strings = "acknowledgedKeptHolds")
        void ofSeededGroupsHaveNoCounterexample(String check) {
            assertEquals(false, satisfiable("seeded_group.als", check));
        }
    }

    @Nested
    class BrokenVariants {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "electionSafetyWithoutOneVote",
                    "electionSafetyWithoutFreshIdentity",
                    "committedKeptWithoutUpToDate",
                    "committedKeptWithoutSyncFirst",
                    "committedKeptWithoutDoubleMajority",
                    "lostVotesWithoutFreshIdentity"
                })
        void ofTheLogAreCaught(String check) {
            assertEquals(true, satisfiable("replicated_log.als", check));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "atMostOnceWithoutIntentOnce",
                    "versionDecidedOnceWithoutCompare",
                    "neverRevertsWithoutCompare"
                })
        void ofTheStateMachinesAreCaught(String check) {
            assertEquals(true, satisfiable("replicated_state.als", check));
        }

        /** Each variant loses an acknowledged write. */
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "acknowledgedKeptWithoutFoundOnce",
                    "acknowledgedKeptWithoutSyncedNewcomer",
                    "acknowledgedKeptWithoutMajorityFirst"
                })
        void ofSeededGroupsAreCaught(String check) {
            assertEquals(true, satisfiable("seeded_group.als", check));
        }
    }

    @Nested
    class Behaviours {
        @ParameterizedTest
        @ValueSource(strings = "reachesCommittedChange")
        void existThatCommitAVoterChange(String run) {
            assertEquals(true, satisfiable("replicated_log.als", run));
        }

        @ParameterizedTest
        @ValueSource(strings = "reachesWriteAfterReplacement")
        void existThatWriteAfterAReplacement(String run) {
            assertEquals(true, satisfiable("seeded_group.als", run));
        }
    }
}
