package org.plantainwharf.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.call.Content;
import org.plantainwharf.identity.Fingerprint;
import org.plantainwharf.identity.HostId;
import org.plantainwharf.identity.ServerId;
import org.plantainwharf.identity.ServerVersion;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.replicated.Command;
import org.plantainwharf.replicated.CommandResult;
import org.plantainwharf.replicated.Departure;
import org.plantainwharf.replicated.Query;
import org.plantainwharf.replicated.QueryResult;
import org.plantainwharf.replicated.StateMachine;
import org.plantainwharf.replicated.StateRecord;
import org.plantainwharf.rollout.Rollout;
import org.plantainwharf.rollout.RolloutPhase;
import org.plantainwharf.sheet.Sheet;

/**
 * The state of the control group: the newest accepted sheet, the service document, usage counts, the fencing number,
 * crash counts, host starts, departures and software versions of backend servers, and rollouts. Invariants: the version of
 * the sheet never decreases, and a version never has two contents; a rollout only moves on. Owned by the control thread.
 */
public final class ControlState implements StateMachine {
    /** Number of sheets whose resend still gets the first answer. Resends arrive within minutes, so this is ample. */
    static final int MAXIMUM_REMEMBERED_SHEETS = 1024;

    /** Time after which crashes no longer count against a request, measured from its last reported crash. */
    static final long CRASH_RETENTION_MILLIS = Duration.ofMinutes(30).toMillis();

    /** Number of contents whose crashes are kept. The ones with the oldest crash are dropped first. */
    static final int MAXIMUM_REMEMBERED_CRASHES = 4_096;

    /** Number of crashes kept for one content; more do not change what is decided about it. */
    static final int MAXIMUM_CRASHES_PER_CONTENT = 64;

    /** A daemon that takes over the duties reports only the windows of the last minutes; older reports are overdue. */
    static final int MAXIMUM_REMEMBERED_USAGE_WINDOWS = 64;

    /**
     * Time after which a departure is dropped, measured from its announcement to that of a later one. A report may arrive
     * seconds late; the clocks of two daemons may differ by seconds too.
     */
    static final long DEPARTURE_RETENTION_MILLIS = Duration.ofHours(1).toMillis();

    /** Software versions of one service that are listed at a time; further ones are not listed. */
    static final int MAXIMUM_LISTED_VERSIONS = 256;

    /** Services of which versions are listed. */
    static final int MAXIMUM_LISTED_SERVICES = 1_024;

    /** Rollouts of a service that are kept besides the newest. Each takes seconds, so few begin while resends arrive. */
    static final int MAXIMUM_FORMER_ROLLOUTS = 8;

    /** Services of which a rollout is kept. */
    static final int MAXIMUM_ROLLOUT_SERVICES = 1_024;

    /**
     * Time after an order within which the same order is a resend, also when the rollout has ended. Operators resend for a
     * few seconds; the clocks of two daemons may differ by seconds too.
     */
    static final long ROLLOUT_RESEND_MILLIS = Duration.ofSeconds(30).toMillis();

    private Optional<Sheet> sheet = Optional.empty();
    private Optional<StateRecord.Document> document = Optional.empty();
    private final TreeMap<Long, StateRecord.Usage> usages = new TreeMap<>();
    private final TreeMap<Long, String> acceptedSheets = new TreeMap<>();
    private StateRecord.Fencing fencing = new StateRecord.Fencing(0, HostId.of("none"), 0);
    private final Map<Fingerprint, StateRecord.Crashes> crashes = new LinkedHashMap<>();
    private final Map<String, StateRecord.HostStart> hostStarts = new LinkedHashMap<>();

    private final Map<ServerId, StateRecord.Departed> departures = new LinkedHashMap<>();
    /** Whether each listed version is closed, by service. */
    private final Map<ServiceName, Map<ServerVersion, Boolean>> listedVersions = new LinkedHashMap<>();

    private final Map<ServiceName, Rollout> rollouts = new LinkedHashMap<>();

    /** Ended rollouts before the newest one of a service that a resend may still mean, oldest first. */
    private final Map<ServiceName, List<Rollout>> formerRollouts = new LinkedHashMap<>();

    private ControlState() {}

    /** Returns an empty state. */
    public static ControlState create() {
        return new ControlState();
    }

    /** Returns the newest accepted sheet, empty for none. */
    public Optional<Sheet> sheet() {
        return sheet;
    }

    /** Returns the newest service document, empty for none. */
    public Optional<StateRecord.Document> document() {
        return document;
    }

    /** Returns the recorded counts of a usage window, which never change, or empty if none are recorded. */
    public Optional<StateRecord.Usage> usage(long window) {
        return Optional.ofNullable(usages.get(window));
    }

    /** Returns the newest fencing number and its holder. The number is 0 before the first is taken. */
    public StateRecord.Fencing fencing() {
        return fencing;
    }

    /** Returns the crash counts. */
    public Collection<StateRecord.Crashes> crashes() {
        return crashes.values();
    }

    /** Returns the newest departure of each backend server, in the order in which they were recorded. */
    public List<Departure> departures() {
        return departures.values().stream().map(StateRecord.Departed::departure).toList();
    }

    /** Returns whether a departure, or one that says more, is recorded. */
    public boolean hasDeparted(Departure departure) {
        StateRecord.@Nullable Departed known = departures.get(departure.server());
        return known != null && known.departure().covers(departure);
    }

    /** Returns the software versions that may have begun streams of a service, in the order in which they were listed. */
    public Set<ServerVersion> listedVersions(ServiceName service) {
        return Collections.unmodifiableSet(
                listedVersions.getOrDefault(service, Map.of()).keySet());
    }

    /** Returns whether servers of this version may begin streams of a service: it is listed and not closed. */
    public boolean mayBeginStreams(ServiceName service, ServerVersion version) {
        return Boolean.FALSE.equals(
                listedVersions.getOrDefault(service, Map.of()).get(version));
    }

    /** Returns the services of which a version is listed. */
    public Set<ServiceName> servicesWithListedVersions() {
        return Collections.unmodifiableSet(listedVersions.keySet());
    }

    /** Returns the newest rollout of a service; empty if there was none. */
    public Optional<Rollout> rollout(ServiceName service) {
        return Optional.ofNullable(rollouts.get(service));
    }

    /** Returns the newest rollout of each service that had one. */
    public Collection<Rollout> rollouts() {
        return Collections.unmodifiableCollection(rollouts.values());
    }

    /** Returns the host starts, both finished and pending. */
    public Collection<StateRecord.HostStart> hostStarts() {
        return hostStarts.values();
    }

    @Override
    public CommandResult apply(Command command) {
        return switch (command) {
            case Command.Control control -> applyControl(control);
            case Command.Recording recording -> new CommandResult.Ignored();
        };
    }

    private CommandResult applyControl(Command.Control command) {
        return switch (command) {
            case Command.NoOperation none -> new CommandResult.Done();
            case Command.ChangeVoters change -> new CommandResult.Done();
            case Command.ApplySheet apply -> applySheet(apply.sheet());
            case Command.ReplaceDocument replace -> replaceDocument(replace);
            case Command.ReadDocument read ->
                document.<CommandResult>map(held -> new CommandResult.DocumentContent(held.version(), held.content()))
                        .orElse(new CommandResult.DocumentContent(0, Content.of("", new byte[0])));
            case Command.RecordUsage usage -> recordUsage(usage);
            case Command.TakeFencingNumber take -> takeFencingNumber(take);
            case Command.ReportCrash report -> reportCrash(report);
            case Command.WithdrawCrashes withdraw -> withdrawCrashes(withdraw);
            case Command.RecordDeparture departure -> recordDeparture(departure);
            case Command.ListServerVersion list -> listVersion(list);
            case Command.CloseServerVersion close -> closeVersion(close);
            case Command.RetireServerVersion retire -> retireVersion(retire);
            case Command.BeginRollout begin -> beginRollout(begin);
            case Command.AdvanceRollout advance -> advanceRollout(advance);
            case Command.FinishRollout finish -> finishRollout(finish);
            case Command.ReadRollout read ->
                rollout(read.service())
                        .<CommandResult>map(CommandResult.RolloutHeld::new)
                        .orElse(new CommandResult.NoRollout());
            case Command.RecordHostStart start -> {
                hostStarts.putIfAbsent(
                        start.token(),
                        new StateRecord.HostStart(start.token(), start.zone(), start.hostClass(), false, ""));
                yield new CommandResult.Done();
            }
            case Command.FinishHostStart finish -> finishHostStart(finish);
            case Command.Expire expire -> expire(expire.wallClockMillis());
        };
    }

    private CommandResult applySheet(Sheet candidate) {
        long version = candidate.version();
        @Nullable String accepted = acceptedSheets.get(version);
        if (accepted != null) {
            return accepted.equals(candidate.digest())
                    ? new CommandResult.SheetAccepted(version, accepted)
                    : new CommandResult.SheetConflict(version, accepted);
        }
        long inForce = sheet.map(Sheet::version).orElse(0L);
        if (version <= inForce) {
            return new CommandResult.SheetStale(version, inForce);
        }
        sheet = Optional.of(candidate);
        acceptedSheets.put(version, candidate.digest());
        if (acceptedSheets.size() > MAXIMUM_REMEMBERED_SHEETS) {
            acceptedSheets.pollFirstEntry();
        }
        return new CommandResult.SheetAccepted(version, candidate.digest());
    }

    private CommandResult replaceDocument(Command.ReplaceDocument replace) {
        if (document.isEmpty() || replace.version() > document.get().version()) {
            document = Optional.of(new StateRecord.Document(replace.version(), replace.content()));
        }
        return new CommandResult.DocumentHeld(document.get().version());
    }

    private CommandResult recordUsage(Command.RecordUsage usage) {
        StateRecord.Usage fixed =
                usages.computeIfAbsent(usage.window(), window -> new StateRecord.Usage(window, usage.requests()));
        if (usages.size() > MAXIMUM_REMEMBERED_USAGE_WINDOWS) {
            usages.pollFirstEntry();
        }
        return new CommandResult.UsageRecorded(fixed.window(), fixed.requests());
    }

    private CommandResult takeFencingNumber(Command.TakeFencingNumber take) {
        boolean resent = fencing.leader().equals(take.leader()) && fencing.term() == take.term();
        if (!resent) {
            fencing = new StateRecord.Fencing(fencing.number() + 1, take.leader(), take.term());
        }
        return new CommandResult.FencingNumber(fencing.number());
    }

    private CommandResult reportCrash(Command.ReportCrash report) {
        StateRecord.@Nullable Crashes known = crashes.get(report.fingerprint());
        double count = 0;
        Set<String> reportIds = new LinkedHashSet<>();
        if (known != null && report.wallClockMillis() - known.lastMillis() < CRASH_RETENTION_MILLIS) {
            count = known.count();
            reportIds.addAll(known.reportIds());
        }
        if (reportIds.contains(report.reportId()) || reportIds.size() > report.precedingCrashes()) {
            return new CommandResult.Done();
        }
        if (reportIds.size() < MAXIMUM_CRASHES_PER_CONTENT) {
            reportIds.add(report.reportId());
            count += report.share();
        }
        crashes.put(
                report.fingerprint(),
                new StateRecord.Crashes(report.fingerprint(), count, report.wallClockMillis(), reportIds));
        if (crashes.size() > MAXIMUM_REMEMBERED_CRASHES) {
            crashes.values().stream()
                    .min(Comparator.comparingLong(StateRecord.Crashes::lastMillis)
                            .thenComparing(oldest -> oldest.fingerprint().value()))
                    .ifPresent(oldest -> crashes.remove(oldest.fingerprint()));
        }
        return new CommandResult.Done();
    }

    private CommandResult withdrawCrashes(Command.WithdrawCrashes withdraw) {
        StateRecord.@Nullable Crashes known = crashes.get(withdraw.fingerprint());
        if (known != null && withdraw.reportIds().containsAll(known.reportIds())) {
            crashes.remove(withdraw.fingerprint());
        }
        return new CommandResult.Done();
    }

    private CommandResult recordDeparture(Command.RecordDeparture command) {
        if (!hasDeparted(command.departure())) {
            ServerId server = command.departure().server();
            departures.remove(server);
            departures.put(server, new StateRecord.Departed(command.departure(), command.wallClockMillis()));
        }
        departures
                .values()
                .removeIf(known -> command.wallClockMillis() - known.wallClockMillis() >= DEPARTURE_RETENTION_MILLIS);
        if (departures.size() > Departure.MAXIMUM_REMEMBERED) {
            departures.remove(departures.keySet().iterator().next());
        }
        return new CommandResult.Done();
    }

    private CommandResult listVersion(Command.ListServerVersion list) {
        boolean newService = !listedVersions.containsKey(list.service());
        Map<ServerVersion, Boolean> listed = listedVersions.getOrDefault(list.service(), Map.of());
        boolean full = listed.size() >= MAXIMUM_LISTED_VERSIONS && !listed.containsKey(list.version());
        if (full || newService && listedVersions.size() >= MAXIMUM_LISTED_SERVICES) {
            return new CommandResult.Ignored();
        }
        listedVersions
                .computeIfAbsent(list.service(), service -> new LinkedHashMap<>())
                .put(list.version(), false);
        return new CommandResult.Done();
    }

    private CommandResult closeVersion(Command.CloseServerVersion close) {
        Map<ServerVersion, Boolean> listed = listedVersions.getOrDefault(close.service(), Map.of());
        boolean lastOpen = listed.values().stream().filter(closed -> !closed).count() <= 1;
        if (lastOpen || !listed.containsKey(close.version())) {
            return new CommandResult.Ignored();
        }
        listed.put(close.version(), true);
        return new CommandResult.Done();
    }

    private CommandResult retireVersion(Command.RetireServerVersion retire) {
        Map<ServerVersion, Boolean> listed = listedVersions.getOrDefault(retire.service(), Map.of());
        if (listed.size() <= 1 || !Boolean.TRUE.equals(listed.get(retire.version()))) {
            return new CommandResult.Ignored();
        }
        listed.remove(retire.version());
        return new CommandResult.Done();
    }

    private CommandResult beginRollout(Command.BeginRollout begin) {
        Optional<Rollout> resent = rolloutOfResend(begin);
        if (resent.isPresent()) {
            return new CommandResult.RolloutHeld(resent.get());
        }
        @Nullable Rollout known = rollouts.get(begin.service());
        if (known != null && known.inProgress()) {
            return new CommandResult.RolloutConflict(known);
        }
        // The service runs this version already; watching it anew would limit it to the share of a version under watch.
        if (known != null
                && known.phase() instanceof RolloutPhase.Completed
                && known.target().equals(begin.target())) {
            return new CommandResult.RolloutHeld(known);
        }
        if (known == null && rollouts.size() >= MAXIMUM_ROLLOUT_SERVICES) {
            return new CommandResult.Ignored();
        }
        if (known != null) {
            keepFormerRollout(known, begin.wallClockMillis());
        }
        return startRollout(begin, known == null ? 0 : known.number());
    }

    private void keepFormerRollout(Rollout rollout, long wallClockMillis) {
        List<Rollout> former = formerRollouts.computeIfAbsent(rollout.service(), service -> new ArrayList<>());
        former.add(rollout);
        former.removeIf(known -> !mayBeResend(wallClockMillis, known));
        if (former.size() > MAXIMUM_FORMER_ROLLOUTS) {
            former.removeFirst();
        }
        if (former.isEmpty()) {
            formerRollouts.remove(rollout.service());
        }
    }

    private CommandResult startRollout(Command.BeginRollout begin, long formerNumber) {
        Rollout rollout = new Rollout(
                begin.service(),
                formerNumber + 1,
                begin.target(),
                begin.durationMillis(),
                begin.wallClockMillis(),
                new RolloutPhase.Observing());
        rollouts.put(begin.service(), rollout);
        return new CommandResult.RolloutHeld(rollout);
    }

    /**
     * Returns the rollout that an order began, if it is that order sent again, so that it gets the same answer. A copy that was
     * held back in a daemon may arrive after the verdict, and after that of a later rollout.
     */
    public Optional<Rollout> rolloutOfResend(Command.BeginRollout begin) {
        @Nullable Rollout newest = rollouts.get(begin.service());
        if (newest != null
                && isSameOrder(begin, newest)
                && (newest.inProgress() || mayBeResend(begin.wallClockMillis(), newest))) {
            return Optional.of(newest);
        }
        return formerRollouts.getOrDefault(begin.service(), List.of()).stream()
                .filter(former -> isSameOrder(begin, former) && mayBeResend(begin.wallClockMillis(), former))
                .reduce((earlier, later) -> later);
    }

    private static boolean isSameOrder(Command.BeginRollout begin, Rollout known) {
        return known.target().equals(begin.target()) && known.durationMillis() == begin.durationMillis();
    }

    private static boolean mayBeResend(long wallClockMillis, Rollout known) {
        return Math.abs(wallClockMillis - known.begunMillis()) < ROLLOUT_RESEND_MILLIS;
    }

    private CommandResult advanceRollout(Command.AdvanceRollout advance) {
        @Nullable Rollout known = rollouts.get(advance.service());
        if (known == null
                || known.number() != advance.number()
                || advance.phase().ended()
                || !known.phase().mayBecome(advance.phase())) {
            return new CommandResult.Ignored();
        }
        rollouts.put(advance.service(), known.withPhase(advance.phase()));
        return new CommandResult.Done();
    }

    private CommandResult finishRollout(Command.FinishRollout finish) {
        @Nullable Rollout known = rollouts.get(finish.service());
        if (known == null
                || known.number() != finish.number()
                || !finish.verdict().ended()) {
            return new CommandResult.Ignored();
        }
        if (known.phase().mayBecome(finish.verdict())) {
            rollouts.put(finish.service(), known.withPhase(finish.verdict()));
            return new CommandResult.Done();
        }
        return known.phase().equals(finish.verdict()) ? new CommandResult.Done() : new CommandResult.Ignored();
    }

    private CommandResult finishHostStart(Command.FinishHostStart finish) {
        StateRecord.@Nullable HostStart start = hostStarts.get(finish.token());
        if (start == null) {
            return new CommandResult.Ignored();
        }
        hostStarts.put(
                start.token(),
                new StateRecord.HostStart(start.token(), start.zone(), start.hostClass(), true, finish.platformHost()));
        return new CommandResult.Done();
    }

    private CommandResult expire(long wallClockMillis) {
        crashes.values().removeIf(entry -> wallClockMillis - entry.lastMillis() >= CRASH_RETENTION_MILLIS);
        hostStarts
                .values()
                .removeIf(start -> start.finished() && start.platformHost().isEmpty());
        return new CommandResult.Done();
    }

    @Override
    public QueryResult answer(Query query) {
        return switch (query) {
            case Query.WorkState work -> new QueryResult.NotFound();
        };
    }

    @Override
    public List<StateRecord> records() {
        List<StateRecord> records = new ArrayList<>();
        sheet.ifPresent(value -> records.add(new StateRecord.SheetInForce(value)));
        acceptedSheets.forEach((version, digest) -> records.add(new StateRecord.AcceptedSheet(version, digest)));
        document.ifPresent(records::add);
        records.addAll(usages.values());
        records.add(fencing);
        records.addAll(crashes.values());
        records.addAll(hostStarts.values());
        records.addAll(departures.values());
        listedVersions.forEach((service, versions) -> versions.forEach(
                (version, closed) -> records.add(new StateRecord.ListedVersion(service, version, closed))));
        formerRollouts
                .values()
                .forEach(former -> former.forEach(rollout -> records.add(new StateRecord.NewestRollout(rollout))));
        rollouts.values().forEach(rollout -> records.add(new StateRecord.NewestRollout(rollout)));
        return records;
    }

    @Override
    public void restore(List<StateRecord> records) {
        sheet = Optional.empty();
        document = Optional.empty();
        usages.clear();
        acceptedSheets.clear();
        crashes.clear();
        hostStarts.clear();
        departures.clear();
        listedVersions.clear();
        rollouts.clear();
        formerRollouts.clear();
        for (StateRecord stateRecord : records) {
            switch (stateRecord) {
                case StateRecord.SheetInForce inForce -> sheet = Optional.of(inForce.sheet());
                case StateRecord.AcceptedSheet accepted -> acceptedSheets.put(accepted.version(), accepted.digest());
                case StateRecord.Document value -> document = Optional.of(value);
                case StateRecord.Usage value -> usages.put(value.window(), value);
                case StateRecord.Fencing value -> fencing = value;
                case StateRecord.Crashes value -> crashes.put(value.fingerprint(), value);
                case StateRecord.Departed value ->
                    departures.put(value.departure().server(), value);
                case StateRecord.ListedVersion value ->
                    listedVersions
                            .computeIfAbsent(value.service(), service -> new LinkedHashMap<>())
                            .put(value.version(), value.closed());
                case StateRecord.NewestRollout value -> restoreRollout(value.rollout());
                case StateRecord.HostStart value -> hostStarts.put(value.token(), value);
                case StateRecord.Order order -> throw unexpected(order);
                case StateRecord.Work work -> throw unexpected(work);
            }
        }
    }

    /** Takes the last record of a service for its newest rollout, and those before for former ones. */
    private void restoreRollout(Rollout rollout) {
        @Nullable Rollout before = rollouts.put(rollout.service(), rollout);
        if (before != null) {
            formerRollouts
                    .computeIfAbsent(rollout.service(), service -> new ArrayList<>())
                    .add(before);
        }
    }

    private static IllegalArgumentException unexpected(StateRecord stateRecord) {
        return new IllegalArgumentException("record does not belong to the control group: "
                + stateRecord.getClass().getSimpleName());
    }
}
