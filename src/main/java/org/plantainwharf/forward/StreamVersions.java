package org.plantainwharf.forward;

import java.util.Optional;
import java.util.Set;

import org.plantainwharf.board.Board;
import org.plantainwharf.configuration.ControlState;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.origin.StreamOrigin;
import org.plantainwharf.registry.KnownServer;
import org.plantainwharf.registry.ServerReport;

/**
 * The software versions at which a request may run. Invariants: a request whose stream may be resumed goes only to
 * versions that the control log lists and has not closed, since the origin of a stream can be deduced from the list after a loss of all
 * daemons; a stream goes on only at the version that began it, which servers do not check. Valid for one decision. Used
 * by the control thread.
 */
final class StreamVersions {
    private final boolean restricted;
    private final ControlState state;
    private final Optional<StreamOrigin> origin;

    private StreamVersions(boolean restricted, ControlState state, Optional<StreamOrigin> origin) {
        this.restricted = restricted;
        this.state = state;
        this.origin = origin;
    }

    /** Returns the versions for the next attempt of a request. */
    static StreamVersions of(ForwardCall call, Board board) {
        ControlState state = board.configuration().state();
        return call.route().mayResumeStream()
                ? new StreamVersions(true, state, call.origin())
                : new StreamVersions(false, state, Optional.empty());
    }

    private static Set<ServerVersion> listed(ServiceName service, Board board) {
        return board.configuration().state().listedVersions(service);
    }

    /** Returns whether a server of the service may get the request. */
    boolean permits(ServerReport report) {
        if (!restricted) {
            return true;
        }
        Set<ServerVersion> listed = state.listedVersions(report.service());
        return origin.isEmpty()
                ? state.mayBeginStreams(report.service(), report.version())
                : listed.contains(report.version()) && isSame(origin.get().version(), report.version(), listed);
    }

    /**
     * Returns whether servers with these versions can go on with each other's streams. Servers that state no version are
     * taken for the same one only while the service has no other.
     */
    private static boolean isSame(ServerVersion one, ServerVersion other, Set<ServerVersion> listed) {
        return one.equals(other) && (one.stated() || listed.stream().noneMatch(ServerVersion::stated));
    }

    /**
     * Returns whether the server of an attempt has reported another version since the attempt was sent, so that it cannot
     * be told which of them answered: the server may have started again before the request arrived.
     */
    static boolean isDoubtful(ForwardCall.State.Running running, Board board) {
        return board.registry()
                .server(running.server())
                .map(KnownServer::report)
                .filter(report -> report.startEpochMillis() >= running.startEpochMillis()
                        && !report.version().equals(running.version()))
                .isPresent();
    }

    /** Returns whether a ready server of the service reports the version. One that has crashed counts until its reports expire. */
    static boolean isServed(StreamOrigin origin, Board board) {
        Set<ServerVersion> listed = listed(origin.service(), board);
        return board.registry().readyServers(origin.service()).stream()
                .anyMatch(server -> isSame(origin.version(), server.report().version(), listed));
    }

    /** Returns whether a server would be ready for the request if the control log listed its version. */
    static boolean isOnlyUnlisted(ForwardCall call, Board board) {
        if (!call.route().mayResumeStream() || call.origin().isPresent()) {
            return false;
        }
        ControlState state = board.configuration().state();
        boolean unlisted = false;
        for (KnownServer server : board.registry().readyServers(call.service())) {
            if (state.mayBeginStreams(call.service(), server.report().version())) {
                return false;
            }
            unlisted = true;
        }
        return unlisted;
    }
}
