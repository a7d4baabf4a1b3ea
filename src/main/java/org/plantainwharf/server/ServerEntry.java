package org.plantainwharf.server;

import org.plantainwharf.call.CallKind;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServerId;

/** What this host knows of one backend server. Owned by the control thread. */
public final class ServerEntry {
    private Announcement announcement;
    private boolean leased;
    private long leaseUntilNanos;
    private long reportedAtNanos;
    private boolean silent;
    private int inFlight;
    private int sentSinceReport;

    private ServerEntry(Announcement announcement) {
        this.announcement = announcement;
    }

    /** Returns an entry without a lease. */
    public static ServerEntry create(Announcement announcement) {
        return new ServerEntry(announcement);
    }

    /** Returns the server. */
    public ServerId server() {
        return announcement.server();
    }

    /** Returns the newest announcement. */
    public Announcement announcement() {
        return announcement;
    }

    /** Returns the availability zone. */
    public AvailabilityZone zone() {
        return announcement.zone();
    }

    /** Says whether the server may get new work at this time. */
    public boolean acceptsNewWork(long nowNanos) {
        return !announcement.leaving() && !silent && leaseValid(nowNanos);
    }

    /** Says whether the server can run such a call. */
    public boolean serves(CallKind kind) {
        return switch (kind) {
            case CallKind.Model model -> servesModel(model);
            case CallKind.LongWork work -> servesModel(work.model());
            case CallKind.Service service ->
                announcement.kind() instanceof ServerKind.PlainService plain
                        && plain.routes().contains(service.route());
            case CallKind.Order order ->
                announcement.kind() instanceof ServerKind.PlainService plain
                        && plain.routes().contains(order.route());
        };
    }

    private boolean servesModel(CallKind.Model model) {
        return announcement.kind() instanceof ServerKind.ModelEngine engine
                && engine.models().contains(model.model());
    }

    /** Says whether the server's own statement, leaving aside its condition, is valid at this time. */
    public boolean leaseValid(long nowNanos) {
        return leased && nowNanos - leaseUntilNanos < 0;
    }

    /** Returns until when the server's own statement allows new work; meaningless before the first lease. */
    public long leaseUntilNanos() {
        return leaseUntilNanos;
    }

    /** Returns when the newest load report arrived. */
    public long reportedAtNanos() {
        return reportedAtNanos;
    }

    /** Says whether probes of the server went unanswered. */
    public boolean silent() {
        return silent;
    }

    /** Returns this host's calls that run on the server. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns this host's calls sent since the newest load report. */
    public int sentSinceReport() {
        return sentSinceReport;
    }

    /** Returns the load: the newest report and this host's calls that it cannot contain yet. */
    public int estimatedLoad() {
        LoadReport load = announcement.load();
        return Math.max(load.running() + load.queued() + sentSinceReport, inFlight);
    }

    /** Takes a newer announcement and a lease. For the server controller. */
    public void renew(Announcement newer, long leaseUntil, long nowNanos) {
        updateAnnouncement(newer, nowNanos);
        leased = true;
        leaseUntilNanos = leaseUntil;
    }

    /** Takes a newer announcement and keeps the lease as it is. */
    void updateAnnouncement(Announcement newer, long nowNanos) {
        announcement = newer;
        reportedAtNanos = nowNanos;
        sentSinceReport = 0;
    }

    /** Moves the end of the lease to a later time; an earlier one changes nothing. */
    void extendLease(long leaseUntil) {
        if (!leased || leaseUntil - leaseUntilNanos > 0) {
            leased = true;
            leaseUntilNanos = leaseUntil;
        }
    }

    /** Marks the server as leaving, which lasts until a newer incarnation, and ends its lease. */
    void markLeaving(long nowNanos) {
        announcement = announcement.asLeaving();
        endLease(nowNanos);
    }

    /** Ends the lease at once. For the server controller. */
    public void endLease(long nowNanos) {
        if (leaseValid(nowNanos)) {
            leaseUntilNanos = nowNanos;
        }
    }

    /** Records whether the server answers probes. For the server controller. */
    public void setSilent(boolean value) {
        silent = value;
    }

    /** Counts a call sent to the server. For the routing controller. */
    public void attemptStarted() {
        inFlight++;
        sentSinceReport++;
    }

    /** Counts a call that ended. For the routing controller. */
    public void attemptEnded() {
        inFlight--;
    }
}
