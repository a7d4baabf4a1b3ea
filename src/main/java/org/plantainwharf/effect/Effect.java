package org.plantainwharf.effect;

/** Something to do outside the control thread. Immutable. */
public sealed interface Effect
        permits CallEffect,
                AttemptEffect,
                PeerEffect,
                ServerEffect,
                StorageEffect,
                OperatorEffect,
                PlatformEffect,
                DocumentEffect,
                RegistryEffect,
                ForwardEffect,
                DutyEffect,
                AlarmEffect,
                CountEffect,
                LogEffect,
                ProcessEffect {}
