package org.plantainwharf.board;

import java.util.SplittableRandom;

import org.plantainwharf.admission.AdmissionSection;
import org.plantainwharf.alarm.AlarmSection;
import org.plantainwharf.call.CallTable;
import org.plantainwharf.capacity.CapacitySection;
import org.plantainwharf.configuration.ConfigurationSection;
import org.plantainwharf.consensus.ConsensusSection;
import org.plantainwharf.document.DocumentSection;
import org.plantainwharf.drain.DrainSection;
import org.plantainwharf.duty.DutySection;
import org.plantainwharf.forward.ForwardSection;
import org.plantainwharf.handover.HandoverSection;
import org.plantainwharf.keptpart.KeptPartSection;
import org.plantainwharf.limit.AllowanceSection;
import org.plantainwharf.limit.LimitSection;
import org.plantainwharf.limit.ServerLimitSection;
import org.plantainwharf.membership.MembershipSection;
import org.plantainwharf.observation.ObservationSection;
import org.plantainwharf.origin.OriginSection;
import org.plantainwharf.quarantine.QuarantineSection;
import org.plantainwharf.record.RecordSection;
import org.plantainwharf.registry.DepartureSection;
import org.plantainwharf.registry.RegistrySection;
import org.plantainwharf.retry.RetrySection;
import org.plantainwharf.rollout.RolloutSection;
import org.plantainwharf.room.RoomSection;
import org.plantainwharf.routing.RoutingSection;
import org.plantainwharf.server.ServerSection;
import org.plantainwharf.settings.Settings;

/**
 * The control state of one daemon, divided into typed sections. Controllers read all sections and write only their own.
 * Not thread-safe; owned by the control thread. Other threads use {@link BoardView} and {@link StatusView}.
 */
public final class Board {
    private final Settings settings;
    private final SplittableRandom random;
    private final CallTable calls = CallTable.create();
    private final ServerSection servers = ServerSection.create();
    private final AdmissionSection admission = AdmissionSection.create();
    private final RoutingSection routing = RoutingSection.create();
    private final RetrySection retry = RetrySection.create();
    private final LimitSection limits = LimitSection.create();
    private final QuarantineSection quarantine = QuarantineSection.create();
    private final MembershipSection membership;
    private final ConsensusSection consensus = ConsensusSection.create();
    private final RecordSection records = RecordSection.create();
    private final ConfigurationSection configuration = ConfigurationSection.create();
    private final DrainSection drain = DrainSection.create();
    private final CapacitySection capacity = CapacitySection.create();
    private final DocumentSection documents = DocumentSection.create();
    private final RegistrySection registry = RegistrySection.create();
    private final DepartureSection departures = DepartureSection.create();
    private final ForwardSection forward = ForwardSection.create();
    private final OriginSection origins = OriginSection.create();
    private final AllowanceSection allowances;
    private final ServerLimitSection serverLimits = ServerLimitSection.create();
    private final DutySection duties = DutySection.create();
    private final RolloutSection rollouts = RolloutSection.create();
    private final ObservationSection observations = ObservationSection.create();
    private final RoomSection room = RoomSection.create();
    private final KeptPartSection keptParts = KeptPartSection.create();
    private final HandoverSection handovers = HandoverSection.create();
    private final AlarmSection alarms = AlarmSection.create();
    private long wallClockMillis;

    private Board(Settings settings, long incarnation, long seed) {
        this.settings = settings;
        this.random = new SplittableRandom(seed);
        this.allowances = AllowanceSection.create(seed);
        this.membership = MembershipSection.create(settings.host(), settings.zone(), incarnation);
    }

    /**
     * Returns an empty board.
     *
     * @param incarnation differs between starts of the daemon's process
     * @param seed seed of the random numbers that controllers use
     */
    public static Board create(Settings settings, long incarnation, long seed) {
        return new Board(settings, incarnation, seed);
    }

    /** Returns the settings of this daemon. */
    public Settings settings() {
        return settings;
    }

    /** Returns the random number generator. Controllers use no other, so that a seed reproduces their decisions. */
    public SplittableRandom random() {
        return random;
    }

    /** Returns the time in milliseconds since the epoch. It may jump, so use it for retention and display only. */
    public long wallClockMillis() {
        return wallClockMillis;
    }

    /** Sets the wall clock time in milliseconds since the epoch. Called by the control cycle only. */
    public void setWallClockMillis(long value) {
        wallClockMillis = value;
    }

    /** Returns the live calls. */
    public CallTable calls() {
        return calls;
    }

    /** Returns the section on backend servers. */
    public ServerSection servers() {
        return servers;
    }

    /** Returns the section on admission. */
    public AdmissionSection admission() {
        return admission;
    }

    /** Returns the section on routing. */
    public RoutingSection routing() {
        return routing;
    }

    /** Returns the section on retries. */
    public RetrySection retry() {
        return retry;
    }

    /** Returns the section on account limits. */
    public LimitSection limits() {
        return limits;
    }

    /** Returns the section on quarantined requests. */
    public QuarantineSection quarantine() {
        return quarantine;
    }

    /** Returns the section on the other daemons and the links to them. */
    public MembershipSection membership() {
        return membership;
    }

    /** Returns the section on replicated logs. */
    public ConsensusSection consensus() {
        return consensus;
    }

    /** Returns the section on orders and accepted work. */
    public RecordSection records() {
        return records;
    }

    /** Returns the section on the sheet in force. */
    public ConfigurationSection configuration() {
        return configuration;
    }

    /** Returns the section on the graceful stop of this daemon. */
    public DrainSection drain() {
        return drain;
    }

    /** Returns the section on hosts and engine orders. */
    public CapacitySection capacity() {
        return capacity;
    }

    /** Returns the section on alarms. */
    public AlarmSection alarms() {
        return alarms;
    }

    /** Returns the section on the service document. */
    public DocumentSection documents() {
        return documents;
    }

    /** Returns the section on backend servers that report themselves. */
    public RegistrySection registry() {
        return registry;
    }

    /** Returns the section on servers that have announced their end. */
    public DepartureSection departures() {
        return departures;
    }

    /** Returns the section on requests that are forwarded to backend servers. */
    public ForwardSection forward() {
        return forward;
    }

    /** Returns the section on where streams began. */
    public OriginSection origins() {
        return origins;
    }

    /** Returns the section on shares of account limits. */
    public AllowanceSection allowances() {
        return allowances;
    }

    /** Returns the section on request limits of servers. */
    public ServerLimitSection serverLimits() {
        return serverLimits;
    }

    /** Returns the section on duties that one daemon at a time performs towards the cloud API. */
    public DutySection duties() {
        return duties;
    }

    /** Returns the section on rollouts of software versions. */
    public RolloutSection rollouts() {
        return rollouts;
    }

    /** Returns the section on what daemons have seen of servers. */
    public ObservationSection observations() {
        return observations;
    }

    /** Returns the section on the room of services. */
    public RoomSection room() {
        return room;
    }

    /** Returns the section on parts of prompts that servers keep. */
    public KeptPartSection keptParts() {
        return keptParts;
    }

    /** Returns the section on requests that are handed over to other entry daemons. */
    public HandoverSection handovers() {
        return handovers;
    }

    /** Returns an immutable view for other threads. It shares only immutable objects with the board. */
    public BoardView publish() {
        return BoardView.of(this);
    }
}
