package org.plantainwharf.message;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.keptpart.KeptPart;
import org.plantainwharf.observation.ServerObservation;
import org.plantainwharf.origin.StreamOrigin;
import org.plantainwharf.registry.ServerReport;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.Query;
import org.plantainwharf.replicated.QueryResult;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.rollout.RouteEvidence;
import org.plantainwharf.room.RoomDemand;
import org.plantainwharf.room.RoomShare;

/** A message between daemons. Immutable. */
public sealed interface PeerMessage {
    /**
     * Sent to every linked daemon at a fixed interval.
     *
     * @param token identifies this heartbeat; the receiver returns the newest one as {@code echoedToken}
     * @param echoedToken newest token received from the other side, 0 for none
     * @param configurationVersion version of the sheet in force on the sender, 0 for none
     * @param draining whether the sender is stopping
     */
    record Heartbeat(long token, long echoedToken, long configurationVersion, boolean draining)
            implements PeerMessage {}

    /**
     * Relays announcements of backend servers.
     *
     * @param echoedToken newest heartbeat token received from the receiver; validity starts when the receiver sent that
     *     heartbeat
     */
    record ServerLeases(long echoedToken, List<ServerLease> leases) implements PeerMessage {
        /** Copies the leases. */
        public ServerLeases {
            leases = List.copyOf(leases);
        }
    }

    /** Carries a message of a group's replicated log. */
    record Replication(int group, ReplicaMessage message) implements PeerMessage {}

    /** Requests that the leader of a group commit a command. */
    record Propose(int group, String proposalId, Command command) implements PeerMessage {}

    /** Answers a proposal with the result of the command once it is applied. */
    record ProposeResponse(String proposalId, CommandResult result) implements PeerMessage {}

    /**
     * Answers a proposal or query that the sender did not carry out. The receiver may try another host.
     *
     * @param leader leader of the group as far as the sender knows, empty if it knows none
     */
    record Rejected(String correlationId, ErrorKind reason, Optional<HostId> leader) implements PeerMessage {}

    /** Requests a read from the leader of a group. */
    record QueryRequest(int group, String queryId, Query query) implements PeerMessage {}

    /** Answers a query. */
    record QueryResponse(String queryId, QueryResult result) implements PeerMessage {}

    /** Announces the addresses of daemons that hold the control group's log. */
    record KnownPeers(Map<HostId, String> addresses) implements PeerMessage {
        /** Copies the map. */
        public KnownPeers {
            addresses = Map.copyOf(addresses);
        }
    }

    /** Relays the reports of backend servers. */
    record ServerReports(List<ServerReport> reports) implements PeerMessage {
        /** Copies the reports. */
        public ServerReports {
            reports = List.copyOf(reports);
        }
    }

    /** Reports how many requests of each account one daemon began to run in a usage window. Replaces earlier counts. */
    record UsageCounts(long window, Map<AccountName, Long> requests) implements PeerMessage {
        /** Copies the map. */
        public UsageCounts {
            requests = Map.copyOf(requests);
        }
    }

    /** Reports one daemon's current demand for each service. */
    record DemandReport(Map<ServiceName, ServiceDemand> demands) implements PeerMessage {
        /** Copies the map. */
        public DemandReport {
            demands = Map.copyOf(demands);
        }
    }

    /** Assigns accepted work to its owner. Sent by the leader of a record group until the owner acknowledges it. */
    record WorkAssigned(int group, StateRecord.Work work) implements PeerMessage {}

    /** Acknowledges the assignment of an attempt at accepted work. */
    record WorkAcknowledged(int group, RequestId request, int attempt) implements PeerMessage {}

    /**
     * Reports one host's demand for account limits to the leader of the control group.
     *
     * @param requestsPerSecond demand of each account that has traffic
     */
    record LimitDemand(Map<AccountName, Double> requestsPerSecond) implements PeerMessage {
        /** Copies the map. */
        public LimitDemand {
            requestsPerSecond = Map.copyOf(requestsPerSecond);
        }
    }

    /**
     * Leases shares of account limits to one host, in addition to its safe share.
     *
     * @param echoedToken newest heartbeat token received from the receiver; validity starts when the receiver sent that
     *     heartbeat
     */
    record LimitGrant(long echoedToken, long validMillis, Map<AccountName, Double> requestsPerSecond)
            implements PeerMessage {
        /** Copies the map. */
        public LimitGrant {
            requestsPerSecond = Map.copyOf(requestsPerSecond);
        }
    }

    /**
     * Reports one entry daemon's use of each account's limit, and of the limits of servers, to the control daemons.
     *
     * @param neverGranted whether the daemon has received no grant since its start, so that none of its use is counted yet
     * @param serverLimits request limits that servers have named
     */
    record AllowanceReport(
            boolean neverGranted, Map<AccountName, AllowanceUse> uses, Map<ServerId, ServerLimitUse> serverLimits)
            implements PeerMessage {
        /** Copies the maps. */
        public AllowanceReport {
            uses = Map.copyOf(uses);
            serverLimits = Map.copyOf(serverLimits);
        }
    }

    /**
     * Grants one entry daemon its share of each account's limit, together with the debt of all daemons, and of the limits
     * of servers.
     *
     * @param echoedToken newest heartbeat token received from the receiver; validity starts when the receiver sent that
     *     heartbeat
     * @param defaultFraction fraction of the limit for accounts that are not listed, which have no debt, and for servers
     *     that are not listed
     * @param serverShares shares of the request limits of servers
     */
    record AllowanceGrant(
            long echoedToken,
            long validMillis,
            double defaultFraction,
            Map<AccountName, AllowanceShare> shares,
            Map<ServerId, ServerLimitShare> serverShares)
            implements PeerMessage {
        /** Copies the maps. */
        public AllowanceGrant {
            shares = Map.copyOf(shares);
            serverShares = Map.copyOf(serverShares);
        }
    }

    /** Passes on where streams began, by the attempt that brought the first event. */
    record StreamOrigins(Map<String, StreamOrigin> origins) implements PeerMessage {
        /** Copies the map. */
        public StreamOrigins {
            origins = Map.copyOf(origins);
        }
    }

    /** Asks a control daemon where a stream began. Answered by {@link OriginReply}. */
    record OriginQuestion(String attempt, ServiceName service) implements PeerMessage {}

    /**
     * What the sender knows of where a stream began.
     *
     * @param origin empty if the sender does not know it
     * @param leading whether the sender leads the control group under a valid lease
     * @param listedVersions software versions that may have begun streams of the service, as the sender's copy of the log
     *     lists them
     */
    record OriginReply(
            String attempt,
            ServiceName service,
            Optional<StreamOrigin> origin,
            boolean leading,
            Set<ServerVersion> listedVersions)
            implements PeerMessage {
        /** Copies the set. */
        public OriginReply {
            listedVersions = Set.copyOf(listedVersions);
        }
    }

    /**
     * Reports what one daemon has seen of a rollout since it began. Replaces earlier evidence of the same start of the daemon.
     *
     * @param number number of the rollout within its service
     * @param sequence increases with each report of one start of the daemon
     * @param phaseOrder the phase in force at the daemon, by its order
     * @param requests requests to the service that were sent to a server, repeats not counted
     * @param sentToTarget attempts sent to servers of the target version
     * @param sentToOthers attempts sent to other servers of the service
     * @param runningAtOthers attempts that run at other servers of the service now
     */
    record RolloutEvidence(
            ServiceName service,
            long number,
            long sequence,
            long phaseOrder,
            long requests,
            long sentToTarget,
            long sentToOthers,
            long runningAtOthers,
            List<RouteEvidence> routes)
            implements PeerMessage {
        /** Copies the list. */
        public RolloutEvidence {
            routes = List.copyOf(routes);
        }
    }

    /**
     * Passes on what daemons have seen of backend servers. Names a server at most once.
     *
     * @param sequence increases with each of these messages of one start of the sender
     * @param echoedToken newest heartbeat token received from the receiver, which bounds the age of the message
     */
    record ServerObservations(long sequence, long echoedToken, List<ServerObservation> observations)
            implements PeerMessage {
        /** Copies the list. */
        public ServerObservations {
            observations = List.copyOf(observations);
        }
    }

    /**
     * Passes on which servers keep which parts of prompts.
     *
     * @param sequence increases with each of these messages of one start of the sender
     * @param echoedToken newest heartbeat token received from the receiver, which bounds the age of the message
     */
    record KeptParts(long sequence, long echoedToken, List<KeptPart> parts) implements PeerMessage {
        /** Copies the list. */
        public KeptParts {
            parts = List.copyOf(parts);
        }
    }

    /**
     * Reports what one entry daemon is asked for, by service, to the control daemons. Replaces earlier reports.
     *
     * @param sequence increases with each report of one start of the sender
     */
    record RoomReport(long sequence, Map<ServiceName, RoomDemand> demands) implements PeerMessage {
        /** Copies the map. */
        public RoomReport {
            demands = Map.copyOf(demands);
        }
    }

    /**
     * Tells a control daemon of which services an entry daemon reaches no server. Replaces earlier reports.
     *
     * @param callerAddress where callers and other entry daemons connect to the sender, as IP address and port
     */
    record ReachReport(String callerAddress, Set<ServiceName> unreached) implements PeerMessage {
        /** Copies the set. */
        public ReachReport {
            unreached = Set.copyOf(unreached);
        }
    }

    /**
     * Names entry daemons that reach the servers that the receiver has said not to reach.
     *
     * @param addresses where they accept requests, as IP addresses and ports
     */
    record Helpers(List<String> addresses) implements PeerMessage {
        /** Copies the list. */
        public Helpers {
            addresses = List.copyOf(addresses);
        }
    }

    /**
     * Tells one entry daemon how the room of each service is shared.
     *
     * @param echoedToken newest heartbeat token received from the receiver; validity starts when the receiver sent that
     *     heartbeat
     */
    record RoomGrant(long echoedToken, long validMillis, Map<ServiceName, RoomShare> shares) implements PeerMessage {
        /** Copies the map. */
        public RoomGrant {
            shares = Map.copyOf(shares);
        }
    }
}
