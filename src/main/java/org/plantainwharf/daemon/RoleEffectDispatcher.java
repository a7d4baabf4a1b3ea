package org.plantainwharf.daemon;

import java.util.function.Consumer;

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
import org.plantainwharf.log.LineLog;
import org.plantainwharf.metric.Counters;
import org.plantainwharf.transport.PeerNetwork;

/**
 * Passes each effect of an entry daemon or a control daemon to the component that executes it. Called on the control
 * thread; every component returns at once.
 */
final class RoleEffectDispatcher implements EffectExecutor {
    private final EffectHandlers handlers;

    /** Handlers by kind of effect. For a kind that a daemon has no component for, the handler logs the effect. */
    record EffectHandlers(
            PeerNetwork peers,
            LineLog log,
            Counters counters,
            Consumer<ForwardEffect> forward,
            Consumer<RegistryEffect> registry,
            Consumer<DocumentEffect> documents,
            Consumer<RolloutEffect> rollouts,
            Consumer<DutyEffect> duties,
            Consumer<StorageEffect> storage,
            Runnable onDrained) {}

    private RoleEffectDispatcher(EffectHandlers handlers) {
        this.handlers = handlers;
    }

    static RoleEffectDispatcher create(EffectHandlers handlers) {
        return new RoleEffectDispatcher(handlers);
    }

    @Override
    public void execute(Effect effect) {
        switch (effect) {
            case ForwardEffect forward -> handlers.forward().accept(forward);
            case RegistryEffect registry -> handlers.registry().accept(registry);
            case DocumentEffect document -> handlers.documents().accept(document);
            case RolloutEffect rollout -> handlers.rollouts().accept(rollout);
            case DutyEffect duty -> handlers.duties().accept(duty);
            case PeerEffect peer -> handlers.peers().execute(peer);
            case StorageEffect write -> handlers.storage().accept(write);
            case CountEffect count -> handlers.counters().execute(count);
            case LogEffect line ->
                handlers.log().write(line.event(), line.fields().toArray());
            case ProcessEffect.ExitGracefully graceful -> handlers.onDrained().run();
            case CallEffect call -> logMisdirected(call);
            case AttemptEffect attempt -> logMisdirected(attempt);
            case ServerEffect server -> logMisdirected(server);
            case OperatorEffect operator -> logMisdirected(operator);
            case PlatformEffect platform -> logMisdirected(platform);
            case AlarmEffect alarm -> logMisdirected(alarm);
        }
    }

    /** Logs an effect that only controllers of {@link Daemon} emit. */
    private void logMisdirected(Effect effect) {
        handlers.log().write("effect_misdirected", "type", effect.getClass().getSimpleName());
    }
}
