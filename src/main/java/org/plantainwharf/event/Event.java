package org.plantainwharf.event;

/** Something that happened. Controllers react to events on the control thread. Immutable. */
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
                RegistryEvent,
                ForwardEvent,
                DutyEvent,
                TimerEvent {}
