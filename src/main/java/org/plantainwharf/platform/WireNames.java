package org.plantainwharf.platform;

import java.util.Set;

import org.plantainwharf.http.ForwardDialect;

/** Header names and request paths of the platform's clients, backend servers, operators and cloud API. */
final class WireNames {
    static final String READY_PATH = "/readyz";
    static final String HEARTBEAT_PREFIX = "/Instances.Heartbeat/";
    static final String DEREGISTER_PREFIX = "/Instances.Deregister/";
    static final String REPLACE_DOCUMENT_PATH = "/Config.Replace";
    static final String READ_DOCUMENT_PATH = "/Config.Read";
    static final String BEGIN_ROLLOUT_PATH = "/Rollouts.Begin";
    static final String READ_ROLLOUT_PREFIX = "/Rollouts.Read/";
    static final String USAGE_PATH = "/usage";
    static final String SCALE_PATH = "/scale";
    static final String DUTY_HOLDER_HEADER = "X-Plantainwharf-Duty-Holder";
    static final String FENCING_TOKEN_HEADER = "X-Plantainwharf-Fencing-Token";

    /** Header names of forwarded requests. The names of reserved headers are in lower case. */
    static final ForwardDialect DIALECT = new ForwardDialect(
            "X-Plantainwharf-Attempt-Id",
            "X-Plantainwharf-Deadline-Ms",
            "Token",
            "X-Plantainwharf-Tenant",
            "X-Plantainwharf-Expected-Instance",
            "X-Plantainwharf-Request-Priority",
            "X-Plantainwharf-Response-Seal",
            "X-Plantainwharf-Not-Executed",
            "X-Plantainwharf-Server-Load",
            "Server-Limit",
            "Server-Leaving",
            "X-Plantainwharf-Model",
            "X-Plantainwharf-Token-Counts",
            "X-Plantainwharf-Prefix-Hash",
            "Resumes",
            "X-Plantainwharf-Handed-Over",
            Set.of(
                    "x-plantainwharf-handed-over",
                    "x-plantainwharf-tenant",
                    "x-plantainwharf-expected-instance",
                    "x-plantainwharf-expected-version",
                    "x-plantainwharf-request-priority",
                    "x-plantainwharf-kv-retain",
                    "x-plantainwharf-pin-ms",
                    "x-plantainwharf-kv-backup",
                    "kv-from",
                    "kv-fetch"));

    private WireNames() {}
}
