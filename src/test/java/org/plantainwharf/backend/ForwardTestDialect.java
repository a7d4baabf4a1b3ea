package org.plantainwharf.backend;

import java.util.Set;

import org.plantainwharf.http.ForwardDialect;

/** Header names in tests of forwarding. */
public final class ForwardTestDialect {
    public static final ForwardDialect DIALECT = new ForwardDialect(
            "X-Id",
            "X-Deadline",
            "Token",
            "X-Account",
            "X-Server",
            "X-Priority",
            "X-Seal",
            "X-Not-Run",
            "X-Load",
            "X-Limit",
            "X-Leaving",
            "X-Model",
            "X-Tokens",
            "X-Prompt",
            "X-Resumes",
            "X-Handed-Over",
            Set.of());

    private ForwardTestDialect() {}
}
