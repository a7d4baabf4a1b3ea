package org.plantainwharf.board;

import java.util.Comparator;
import java.util.List;

import org.plantainwharf.configuration.ConfigurationSection;
import org.plantainwharf.consensus.GroupStatus;
import org.plantainwharf.drain.DrainPhase;
import org.plantainwharf.membership.Member;
import org.plantainwharf.server.ServerEntry;
import org.plantainwharf.sheet.Sheet;

/**
 * A view of the board for operators. Immutable. Created only once a second, since it copies the tables of daemons and
 * servers.
 *
 * @param configurationVersion version of the sheet in force, 0 for none
 * @param configurationDigest digest of the sheet in force, empty for none
 * @param behind whether a newer sheet may be in force elsewhere
 * @param groups status of the replicated logs
 * @param liveCalls number of live calls
 * @param takenNanos time of creation on the host's monotonic clock
 */
public record StatusView(
        String host,
        String zone,
        long incarnation,
        DrainPhase drainPhase,
        long configurationVersion,
        String configurationDigest,
        boolean behind,
        List<Member> members,
        List<ServerStatus> servers,
        List<GroupStatus> groups,
        int liveCalls,
        long takenNanos) {
    /** Copies the lists. */
    public StatusView {
        members = List.copyOf(members);
        servers = List.copyOf(servers);
        groups = List.copyOf(groups);
    }

    /**
     * State of one backend server as known to this host. Immutable.
     *
     * @param condition {@code available}, {@code leaving}, {@code silent} or {@code expired}
     * @param inFlight number of this host's calls that run on the server
     */
    public record ServerStatus(
            String server,
            String zone,
            String hostClass,
            String condition,
            int slots,
            int running,
            int queued,
            int inFlight) {
        static ServerStatus of(ServerEntry entry, long nowNanos) {
            return new ServerStatus(
                    entry.server().value(),
                    entry.zone().value(),
                    entry.announcement().hostClass().value(),
                    condition(entry, nowNanos),
                    entry.announcement().slots(),
                    entry.announcement().load().running(),
                    entry.announcement().load().queued(),
                    entry.inFlight());
        }

        private static String condition(ServerEntry entry, long nowNanos) {
            if (entry.announcement().leaving()) {
                return "leaving";
            }
            if (entry.silent()) {
                return "silent";
            }
            return entry.acceptsNewWork(nowNanos) ? "available" : "expired";
        }
    }

    /** Returns a view of the board's current state. */
    public static StatusView of(Board board, long nowNanos) {
        ConfigurationSection configuration = board.configuration();
        return new StatusView(
                board.membership().self().value(),
                board.membership().zone().value(),
                board.membership().incarnation(),
                board.drain().phase(),
                configuration.version(),
                configuration.inForce().map(Sheet::digest).orElse(""),
                configuration.behind(),
                List.copyOf(board.membership().members()),
                board.servers().servers().stream()
                        .map(entry -> ServerStatus.of(entry, nowNanos))
                        .sorted(Comparator.comparing(ServerStatus::server))
                        .toList(),
                List.copyOf(board.consensus().groups()),
                board.calls().size(),
                nowNanos);
    }
}
