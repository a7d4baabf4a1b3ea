package org.plantainwharf.server;

import org.plantainwharf.call.CallKind;
import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.ServerId;

/** State of one backend server as known to this host. Owned by the control thread. */
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

    public ServerId server() {
        return announcement.server();
    }

    /** Returns the newest announcement; its {@code leaving} may be set by this host after a reclaim notice. */
    public Announcement announcement() {
        return announcement;
    }

    public AvailabilityZone zone() {
        return announcement.zone();
    }

    /** Returns whether the server may be sent new work at this time. */
    public boolean acceptsNewWork(long nowNanos) {
        return !announcement.leaving() && !silent && leaseValid(nowNanos);
    }

    /** Returns whether the server can run a call of this kind. */
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

    /** Returns whether the lease is valid at this time, regardless of whether the server is leaving or silent. */
    public boolean leaseValid(long nowNanos) {
        return leased && nowNanos - leaseUntilNanos < 0;
    }

    /** Returns the end of the lease, on this host's monotonic clock; meaningless before the first lease. */
    public long leaseUntilNanos() {
        return leaseUntilNanos;
    }

    /** Returns when the newest load report arrived, on this host's monotonic clock; 0 before the first update. */
    public long reportedAtNanos() {
        return reportedAtNanos;
    }

    /** Returns whether the server is being probed and has not answered yet. */
    public boolean silent() {
        return silent;
    }

    /** Returns the number of this host's calls that run on the server. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the number of this host's calls sent to the server since the newest load report. */
    public int sentSinceReport() {
        return sentSinceReport;
    }

    /** Returns the estimated load: the newest report plus this host's calls that the report cannot include yet. */
    public int estimatedLoad() {
        LoadReport load = announcement.load();
        return Math.max(load.running() + load.queued() + sentSinceReport, inFlight);
    }

    /** Sets a newer announcement and the end of the lease. For the server controller. */
    public void renew(Announcement newer, long leaseUntil, long nowNanos) {
        updateAnnouncement(newer, nowNanos);
        leased = true;
        leaseUntilNanos = leaseUntil;
    }

    /** Sets a newer announcement and leaves the lease unchanged. */
    void updateAnnouncement(Announcement newer, long nowNanos) {
        announcement = newer;
        reportedAtNanos = nowNanos;
        sentSinceReport = 0;
    }

    /** Moves the end of the lease to a later time; an earlier time has no effect. */
    void extendLease(long leaseUntil) {
        if (!leased || leaseUntil - leaseUntilNanos > 0) {
            leased = true;
            leaseUntilNanos = leaseUntil;
        }
    }

    /** Marks the server as leaving, until it announces a newer incarnation, and ends its lease. */
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
