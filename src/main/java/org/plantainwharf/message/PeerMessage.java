package org.plantainwharf.message;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.identity.AccountName;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.RequestId;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.registry.ServerReport;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.Query;
import org.plantainwharf.replicated.QueryResult;
import org.plantainwharf.replicated.StateRecord;

/** A message between daemons. Immutable. */
public sealed interface PeerMessage {
    /**
     * Sent to every linked daemon at a fixed period.
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
     * @param echoedToken newest heartbeat token received from the receiver: validity counts from when it sent that
     */
    record ServerLeases(long echoedToken, List<ServerLease> leases) implements PeerMessage {
        /** Copies the leases. */
        public ServerLeases {
            leases = List.copyOf(leases);
        }
    }

    /** Carries a message of the replicated log. */
    record Replication(int group, ReplicaMessage message) implements PeerMessage {}

    /** Asks the leader of a group to commit a command. */
    record Propose(int group, String proposalId, Command command) implements PeerMessage {}

    /** Answers a proposal with the command's result after it was applied. */
    record ProposeDecided(String proposalId, CommandResult result) implements PeerMessage {}

    /**
     * Answers a proposal or a query that was not carried out here. The receiver may try another host.
     *
     * @param leader the leader that the sender knows, if any
     */
    record Rejected(String correlationId, ErrorKind reason, Optional<HostId> leader) implements PeerMessage {}

    /** Asks the leader of a group for a read. */
    record Ask(int group, String queryId, Query query) implements PeerMessage {}

    /** Answers a read. */
    record Answer(String queryId, QueryResult result) implements PeerMessage {}

    /** Tells the addresses of daemons that hold the control group's log. */
    record KnownPeers(Map<HostId, String> addresses) implements PeerMessage {
        /** Copies the map. */
        public KnownPeers {
            addresses = Map.copyOf(addresses);
        }
    }

    /** Passes on what backend servers reported. */
    record ServerNews(List<ServerReport> reports) implements PeerMessage {
        /** Copies the reports. */
        public ServerNews {
            reports = List.copyOf(reports);
        }
    }

    /** One daemon's count of requests that began to run in a usage window; a later one replaces an earlier one. */
    record UsageCounts(long window, Map<AccountName, Long> requests) implements PeerMessage {
        /** Copies the map. */
        public UsageCounts {
            requests = Map.copyOf(requests);
        }
    }

    /** One daemon's present demand for each service. */
    record DemandReport(Map<ServiceName, ServiceDemand> demands) implements PeerMessage {
        /** Copies the map. */
        public DemandReport {
            demands = Map.copyOf(demands);
        }
    }

    /** The leader of a record group hands accepted work to its owner; sent again until it is taken. */
    record WorkAssigned(int group, StateRecord.Work work) implements PeerMessage {}

    /** An owner took an attempt at accepted work. */
    record WorkTaken(int group, RequestId request, int attempt) implements PeerMessage {}

    /**
     * Reports one host's demand to the leader of the control group.
     *
     * @param requestsPerSecond demand of each account with traffic
     */
    record LimitDemand(Map<AccountName, Double> requestsPerSecond) implements PeerMessage {
        /** Copies the map. */
        public LimitDemand {
            requestsPerSecond = Map.copyOf(requestsPerSecond);
        }
    }

    /**
     * Leases shares of account limits to one host, above its safe share.
     *
     * @param echoedToken newest heartbeat token received from the receiver: validity counts from when it sent that
     */
    record LimitGrant(long echoedToken, long validMillis, Map<AccountName, Double> requestsPerSecond)
            implements PeerMessage {
        /** Copies the map. */
        public LimitGrant {
            requestsPerSecond = Map.copyOf(requestsPerSecond);
        }
    }

    /**
     * Tells control daemons what one entry daemon has passed on for each account.
     *
     * @param ungranted whether the daemon has had no grant since its start, so that none of its use was counted
     */
    record AllowanceReport(boolean ungranted, Map<AccountName, AllowanceUse> uses) implements PeerMessage {
        /** Copies the map. */
        public AllowanceReport {
            uses = Map.copyOf(uses);
        }
    }

    /**
     * Tells one entry daemon what all of them have passed on for each account, and which part of the rest is its own.
     *
     * @param echoedToken newest heartbeat token received from the receiver: validity counts from when it sent that
     * @param evenPart part of the limit of accounts that are not named; they owe nothing
     */
    record AllowanceGrant(long echoedToken, long validMillis, double evenPart, Map<AccountName, AllowanceShare> shares)
            implements PeerMessage {
        /** Copies the map. */
        public AllowanceGrant {
            shares = Map.copyOf(shares);
        }
    }
}
