package org.plantainwharf.duty;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;

import org.plantainwharf.board.Board;
import org.plantainwharf.control.Controller;
import org.plantainwharf.control.PeriodicTimer;
import org.plantainwharf.effect.Effects;
import org.plantainwharf.event.AttemptEvent;
import org.plantainwharf.event.CallEvent;
import org.plantainwharf.event.DocumentEvent;
import org.plantainwharf.event.DutyEvent;
import org.plantainwharf.event.Event;
import org.plantainwharf.event.ForwardEvent;
import org.plantainwharf.event.OperatorEvent;
import org.plantainwharf.event.PeerEvent;
import org.plantainwharf.event.PlatformEvent;
import org.plantainwharf.event.RegistryEvent;
import org.plantainwharf.event.ReplicationEvent;
import org.plantainwharf.event.RolloutEvent;
import org.plantainwharf.event.ServerEvent;
import org.plantainwharf.event.StorageEvent;
import org.plantainwharf.event.TimerEvent;
import org.plantainwharf.forward.EngineProfile;
import org.plantainwharf.forward.ForwardCall;
import org.plantainwharf.forward.PromptShape;
import org.plantainwharf.identity.ServiceName;
import org.plantainwharf.limit.LeaderReports;
import org.plantainwharf.message.PeerMessage;
import org.plantainwharf.message.ServiceDemand;

/**
 * Reports the demand for each service on this entry daemon to all linked daemons; the duty holder orders servers from
 * it. Runs on the control thread, after the forward controller, so that an arriving call is already in the forward
 * section.
 */
public final class DemandController implements Controller {
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Of this many reports the control daemons that do not lead get one, each two seconds; a demand expires after four. */
    private static final int REPORTS_TO_OTHERS = 4;

    /**
     * Weight of the newest period in the moving average. Prompts arrive in bursts; a single one must not order servers.
     */
    private static final double SMOOTHING_FACTOR = 0.12;

    private final Map<ServiceName, double[]> tokenCounts = new HashMap<>();
    private final Map<ServiceName, Double> turnedAwayTokens = new HashMap<>();
    private final Map<ServiceName, double[]> smoothedRates = new HashMap<>();
    private final PeriodicTimer period = PeriodicTimer.ofNanos(PERIOD_NANOS);
    private final LeaderReports reports = LeaderReports.create(REPORTS_TO_OTHERS);

    private DemandController() {}

    public static DemandController create() {
        return new DemandController();
    }

    @Override
    public void handle(Event event, Board board, long nowNanos, Effects effects) {
        switch (event) {
            case ForwardEvent.ForwardArrived arrived ->
                board.forward().call(arrived.ticket()).ifPresent(this::countTokens);
            case ForwardEvent ignored -> {}
            case TimerEvent.Tick tick -> onTick(board, nowNanos, effects);
            case PeerEvent ignored -> {}
            case DutyEvent ignored -> {}
            case DocumentEvent ignored -> {}
            case RolloutEvent ignored -> {}
            case RegistryEvent ignored -> {}
            case ReplicationEvent ignored -> {}
            case StorageEvent ignored -> {}
            case CallEvent ignored -> {}
            case AttemptEvent ignored -> {}
            case ServerEvent ignored -> {}
            case OperatorEvent ignored -> {}
            case PlatformEvent ignored -> {}
        }
    }

    private void countTokens(ForwardCall call) {
        if (call.isHandedOver()) {
            return;
        }
        double[] tokens = tokenCounts.computeIfAbsent(call.service(), key -> new double[2]);
        if (call.state() instanceof ForwardCall.State.Running running) {
            tokens[0] += running.uncachedTokens();
        }
        tokens[1] += call.head().prompt().map(PromptShape::outputTokens).orElse(0L);
    }

    private void onTick(Board board, long nowNanos, Effects effects) {
        if (!period.startIfDue(nowNanos)) {
            return;
        }
        Map<ServiceName, Integer> inFlight = new HashMap<>();
        // Another entry daemon reports the requests that it serves for this one.
        board.forward().calls().stream()
                .filter(call -> !call.isHandedOver())
                .forEach(call -> inFlight.merge(call.service(), 1, Integer::sum));
        Map<ServiceName, ServiceDemand> demands = new HashMap<>();
        tokenCounts.forEach((service, tokens) -> {
            EngineProfile profile = board.forward().engineProfile(service);
            double turnedAway = profile.turnedAwayTokens();
            tokens[0] += turnedAway - Objects.requireNonNullElse(turnedAwayTokens.put(service, turnedAway), 0.0);
            tokens[0] *= profile.millisPerToken() / EngineProfile.INITIAL_MILLIS_PER_TOKEN;
            double[] rate = smoothedRates.computeIfAbsent(service, key -> new double[2]);
            for (int index = 0; index < rate.length; index++) {
                rate[index] += SMOOTHING_FACTOR * (tokens[index] * 1e9 / PERIOD_NANOS - rate[index]);
                tokens[index] = 0;
            }
            demands.put(service, new ServiceDemand(inFlight.getOrDefault(service, 0), 0, rate[0], rate[1]));
        });
        PeerMessage message = new PeerMessage.DemandReport(demands);
        reports.send(message, board, nowNanos, effects);
    }
}
