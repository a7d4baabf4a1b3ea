package org.plantainwharf.effect;

/** An action requested by a controller and carried out outside the control thread. Immutable. */
public sealed interface Effect
        permits CallEffect,
                AttemptEffect,
                PeerEffect,
                ServerEffect,
                StorageEffect,
                OperatorEffect,
                PlatformEffect,
                DocumentEffect,
                RolloutEffect,
                RegistryEffect,
                ForwardEffect,
                DutyEffect,
                AlarmEffect,
                CountEffect,
                LogEffect,
                ProcessEffect {}
