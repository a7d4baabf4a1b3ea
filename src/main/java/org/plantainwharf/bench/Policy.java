package org.plantainwharf.bench;

import java.util.ArrayList;
import java.util.List;

import org.plantainwharf.admission.AdmissionController;
import org.plantainwharf.control.Controller;
import org.plantainwharf.limit.LimitController;
import org.plantainwharf.quarantine.QuarantineController;
import org.plantainwharf.retry.AttemptController;
import org.plantainwharf.routing.RoutingController;

/** The set of controllers that every entry host of a run uses. Immutable. */
sealed interface Policy {
    /** The controllers of the product. */
    record ProductControllers() implements Policy {}

    /** The controllers of the product without account limits. */
    record WithoutLimits() implements Policy {}

    /** Baseline: sends every call at once, to the servers in rotation; servers queue in order of arrival. */
    record RoundRobin() implements Policy {}

    /** Baseline: sends every call at once to the server with the least reported load; servers queue in order of arrival. */
    record LeastReportedLoad() implements Policy {}

    /** Returns all policies, starting with the one of the product. */
    static List<Policy> all() {
        return List.of(new ProductControllers(), new WithoutLimits(), new RoundRobin(), new LeastReportedLoad());
    }

    /** Returns the column heading and the key in JSON. */
    default String label() {
        return switch (this) {
            case ProductControllers product -> "policy";
            case WithoutLimits withoutLimits -> "no limits";
            case RoundRobin roundRobin -> "fcfs, round robin";
            case LeastReportedLoad leastLoad -> "fcfs, least load";
        };
    }

    /** Creates the controllers for one host. */
    default List<Controller> controllers() {
        List<Controller> controllers = new ArrayList<>();
        switch (this) {
            case ProductControllers product -> {
                controllers.add(LimitController.create());
                controllers.addAll(controllersWithoutLimits());
            }
            case WithoutLimits withoutLimits -> controllers.addAll(controllersWithoutLimits());
            case RoundRobin roundRobin -> {
                controllers.add(AttemptController.create());
                controllers.add(BaselineController.create(new BaselineController.RoundRobin()));
            }
            case LeastReportedLoad leastLoad -> {
                controllers.add(AttemptController.create());
                controllers.add(BaselineController.create(new BaselineController.LeastLoad()));
            }
        }
        return controllers;
    }

    private static List<Controller> controllersWithoutLimits() {
        return List.of(
                QuarantineController.create(),
                AdmissionController.create(),
                AttemptController.create(),
                RoutingController.create());
    }
}
