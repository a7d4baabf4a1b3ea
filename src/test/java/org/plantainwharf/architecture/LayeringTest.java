package org.plantainwharf.architecture;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.plantainwharf.control.Controller;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/** Guards against dependencies that break the layering described in docs/design.md. */
class LayeringTest {
    private static final String ROOT = "org.plantainwharf.";

    /** Packages with decision logic. They use no encoding, network, files or threads. */
    private static final String[] DECISION_PACKAGES = packages(
            "identity",
            "error",
            "sheet",
            "call",
            "event",
            "effect",
            "message",
            "board",
            "replicated",
            "server",
            "admission",
            "routing",
            "limit",
            "retry",
            "quarantine",
            "membership",
            "consensus",
            "record",
            "configuration",
            "drain",
            "capacity",
            "alarm",
            "document",
            "registry",
            "forward",
            "origin",
            "rollout",
            "observation",
            "room",
            "keptpart",
            "handover",
            "duty");

    private static final JavaClasses PRODUCT = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.plantainwharf");

    private static String[] packages(String... names) {
        String[] result = new String[names.length];
        for (int index = 0; index < names.length; index++) {
            result[index] = ROOT + names[index];
        }
        return result;
    }

    @Nested
    class DecisionPackages {
        @Test
        void doNotDependOnEncodingOrIo() {
            noClasses()
                    .that()
                    .resideInAnyPackage(DECISION_PACKAGES)
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "org.eclipse.jetty..",
                            "io.netty..",
                            "com.google.protobuf..",
                            "com.fasterxml..",
                            "com.networknt..",
                            "org.apache.commons.csv..",
                            "java.net..",
                            "java.nio.file..",
                            "java.nio.channels..",
                            "java.util.concurrent.locks..",
                            ROOT + "wire..",
                            ROOT + "transport..",
                            ROOT + "storage..",
                            ROOT + "front..",
                            ROOT + "backend..")
                    .check(PRODUCT);
        }

        @Test
        void readNoClockAndStartNoThread() {
            noClasses()
                    .that()
                    .resideInAnyPackage(DECISION_PACKAGES)
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .dependOnClassesThat()
                    .areAssignableTo(Thread.class)
                    .check(PRODUCT);
        }
    }

    @Nested
    class Controllers {
        @Test
        void doNotCallEachOther() {
            DescribedPredicate<JavaClass> controllers = DescribedPredicate.describe(
                    "controllers",
                    type -> type.isAssignableTo(Controller.class) && !type.isEquivalentTo(Controller.class));
            classes()
                    .that(controllers)
                    .should()
                    .onlyDependOnClassesThat(DescribedPredicate.not(controllers))
                    .allowEmptyShould(true)
                    .check(PRODUCT);
        }
    }

    @Nested
    class PlatformAdapter {
        @Test
        void doesNotDependOnControllers() {
            noClasses()
                    .that()
                    .resideInAPackage(ROOT + "platform")
                    .should()
                    .dependOnClassesThat()
                    .areAssignableTo(Controller.class)
                    .check(PRODUCT);
        }

        @Test
        void isUsedByTheCommandLineOnly() {
            noClasses()
                    .that()
                    .resideOutsideOfPackages(ROOT + "platform", ROOT + "cli")
                    .should()
                    .dependOnClassesThat()
                    .resideInAPackage(ROOT + "platform")
                    .check(PRODUCT);
        }
    }

    @Nested
    class Packages {
        @Test
        void areNullMarked() {
            classes()
                    .that()
                    .resideInAPackage("org.plantainwharf..")
                    .and()
                    .resideOutsideOfPackage(ROOT + "wire")
                    .should(ArchitectureConditions.resideInNullMarkedPackage())
                    .check(PRODUCT);
        }
    }
}
