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
 * solver. Scope: four identities (three founding voters and one replacement), 2 or 3 terms, the first of them already
 * led, 1 or 2 log indexes, behaviours of 6 to 8 states; for the state machines 4 keys, requests, versions and digests
 * and 8 states; for seeded groups 4 or 5 disks, 3 values and 6 to 8 states. Shorter behaviours are included, because a state may repeat. Nothing is said about larger scopes. Every rule also has a variant without it, for which a counterexample must exist.
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

        /** Without its rule each loses a write that was acknowledged. */
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
