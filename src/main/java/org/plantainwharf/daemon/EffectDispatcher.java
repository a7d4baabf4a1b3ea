package org.plantainwharf.daemon;

import java.util.Optional;

import com.google.common.flogger.FluentLogger;
import org.plantainwharf.backend.BackendClient;
import org.plantainwharf.control.EffectExecutor;
import org.plantainwharf.effect.AlarmEffect;
import org.plantainwharf.effect.AttemptEffect;
import org.plantainwharf.effect.CallEffect;
import org.plantainwharf.effect.CountEffect;
import org.plantainwharf.effect.DocumentEffect;
import org.plantainwharf.effect.DutyEffect;
import org.plantainwharf.effect.Effect;
import org.plantainwharf.effect.ForwardEffect;
import org.plantainwharf.effect.LogEffect;
import org.plantainwharf.effect.OperatorEffect;
import org.plantainwharf.effect.PeerEffect;
import org.plantainwharf.effect.PlatformEffect;
import org.plantainwharf.effect.ProcessEffect;
import org.plantainwharf.effect.RegistryEffect;
import org.plantainwharf.effect.RolloutEffect;
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.front.CallerFrontend;
import org.plantainwharf.front.OperatorFrontend;
import org.plantainwharf.log.EventLog;
import org.plantainwharf.metric.Counters;
import org.plantainwharf.storage.StorageWriter;
import org.plantainwharf.transport.PeerNetwork;

/**
 * Passes each effect to the component that executes it. Called on the control thread; every component returns at once.
 */
final class EffectDispatcher implements EffectExecutor {
    private static final EventLog LOG = EventLog.of(FluentLogger.forEnclosingClass());

    private final CallerFrontend callers;
    private final OperatorFrontend operators;
    private final BackendClient backends;
    private final PeerNetwork peers;
    private final Optional<StorageWriter> storage;
    private final Counters counters;
    private final Runnable onDrained;

    private EffectDispatcher(
            CallerFrontend callers,
            OperatorFrontend operators,
            BackendClient backends,
            PeerNetwork peers,
            Optional<StorageWriter> storage,
            Counters counters,
            Runnable onDrained) {
        this.callers = callers;
        this.operators = operators;
        this.backends = backends;
        this.peers = peers;
        this.storage = storage;
        this.counters = counters;
        this.onDrained = onDrained;
    }

    /** Returns a dispatcher; {@code onDrained} runs on the control thread and must return at once. */
    static EffectDispatcher create(
            CallerFrontend callers,
            OperatorFrontend operators,
            BackendClient backends,
            PeerNetwork peers,
            Optional<StorageWriter> storage,
            Counters counters,
            Runnable onDrained) {
        return new EffectDispatcher(callers, operators, backends, peers, storage, counters, onDrained);
    }

    @Override
    public void execute(Effect effect) {
        switch (effect) {
            case CallEffect call -> callers.execute(call);
            case AttemptEffect attempt -> backends.execute(attempt);
            case PeerEffect peer -> peers.execute(peer);
            case ServerEffect.AnswerAnnouncement answer -> operators.execute(answer);
            case ServerEffect server -> backends.execute(server);
            case StorageEffect write -> storage.ifPresent(writer -> writer.execute(write));
            case OperatorEffect operator -> operators.execute(operator);
            case PlatformEffect platform -> executePlatform(platform);
            case DocumentEffect document -> logMisdirected(document);
            case RolloutEffect rollout -> logMisdirected(rollout);
            case RegistryEffect registry -> logMisdirected(registry);
            case ForwardEffect forward -> logMisdirected(forward);
            case DutyEffect duty -> logMisdirected(duty);
            case AlarmEffect alarm -> executeAlarm(alarm);
            case LogEffect line -> LOG.info(line.event(), line.fields().toArray());
            case CountEffect count -> counters.execute(count);
            case ProcessEffect.ExitGracefully graceful -> onDrained.run();
        }
    }

    /** Logs an effect that no controller of this daemon emits. */
    private static void logMisdirected(Effect effect) {
        LOG.warning("effect_misdirected", "type", effect.getClass().getSimpleName());
    }

    /** Logs requests to start or stop a host, since no interface to the cloud platform is configured. */
    private void executePlatform(PlatformEffect effect) {
        switch (effect) {
            case PlatformEffect.StartHost start ->
                LOG.info(
                        "host_start_wanted",
                        "token",
                        start.token(),
                        "zone",
                        start.zone(),
                        "hostClass",
                        start.hostClass());
            case PlatformEffect.StopHost stop -> LOG.info("host_stop_wanted", "host", stop.platformHost());
        }
    }

    private void executeAlarm(AlarmEffect effect) {
        switch (effect) {
            case AlarmEffect.RaiseAlarm raise -> {
                counters.execute(CountEffect.one("alarms.raised"));
                LOG.warning("alarm_raised", "promise", raise.objective(), "text", raise.text());
            }
            case AlarmEffect.ClearAlarm clear -> LOG.info("alarm_cleared", "promise", clear.objective());
        }
    }
}
