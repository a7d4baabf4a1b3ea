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
import org.plantainwharf.effect.ServerEffect;
import org.plantainwharf.effect.StorageEffect;
import org.plantainwharf.log.LineLog;
import org.plantainwharf.metric.Counters;
import org.plantainwharf.transport.PeerNetwork;

/**
 * Hands each effect of an entry daemon or a control daemon to the part that carries it out. Called on the control
 * thread; every part returns at once.
 */
final class RoleDispatcher implements EffectExecutor {
    private final Parts parts;

    /** What carries out effects; a daemon without a part of some kind logs the effect. */
    record Parts(
            PeerNetwork peers,
            LineLog log,
            Counters counters,
            Consumer<ForwardEffect> forward,
            Consumer<RegistryEffect> registry,
            Consumer<DocumentEffect> documents,
            Consumer<DutyEffect> duties,
            Consumer<StorageEffect> storage,
            Runnable exit) {}

    private RoleDispatcher(Parts parts) {
        this.parts = parts;
    }

    static RoleDispatcher create(Parts parts) {
        return new RoleDispatcher(parts);
    }

    @Override
    public void execute(Effect effect) {
        switch (effect) {
            case ForwardEffect forward -> parts.forward().accept(forward);
            case RegistryEffect registry -> parts.registry().accept(registry);
            case DocumentEffect document -> parts.documents().accept(document);
            case DutyEffect duty -> parts.duties().accept(duty);
            case PeerEffect peer -> parts.peers().execute(peer);
            case StorageEffect write -> parts.storage().accept(write);
            case CountEffect count -> parts.counters().execute(count);
            case LogEffect line -> parts.log().write(line.event(), line.fields().toArray());
            case ProcessEffect.ExitGracefully graceful -> parts.exit().run();
            case CallEffect call -> misdirected(call);
            case AttemptEffect attempt -> misdirected(attempt);
            case ServerEffect server -> misdirected(server);
            case OperatorEffect operator -> misdirected(operator);
            case PlatformEffect platform -> misdirected(platform);
            case AlarmEffect alarm -> misdirected(alarm);
        }
    }

    /** Only controllers of other daemons ask for these. */
    private void misdirected(Effect effect) {
        parts.log().write("effect_misdirected", "type", effect.getClass().getSimpleName());
    }
}
