package org.plantainwharf.architecture;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.ConditionEvents;
import com.tngtech.archunit.lang.SimpleConditionEvent;
import org.jspecify.annotations.NullMarked;

/** Conditions that ArchUnit does not provide. */
final class ArchitectureConditions {
    private ArchitectureConditions() {}

    /** Returns a condition that is violated by classes in packages without {@code @NullMarked}. */
    static ArchCondition<JavaClass> resideInNullMarkedPackage() {
        return new ArchCondition<>("reside in a package annotated with @NullMarked") {
            @Override
            public void check(JavaClass type, ConditionEvents events) {
                if (!type.getPackage().isAnnotatedWith(NullMarked.class)) {
                    events.add(SimpleConditionEvent.violated(
                            type, type.getName() + " is in a package without @NullMarked"));
                }
            }
        };
    }
}
