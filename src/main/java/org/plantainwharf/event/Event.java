package org.plantainwharf.event;

/** An input to the controllers, which handle it on the control thread. Immutable. */
public sealed interface Event
        permits CallEvent,
                AttemptEvent,
                PeerEvent,
                ServerEvent,
                StorageEvent,
                ReplicationEvent,
                OperatorEvent,
                PlatformEvent,
                DocumentEvent,
                RolloutEvent,
                RegistryEvent,
                ForwardEvent,
                DutyEvent,
                TimerEvent {}
