package org.plantainwharf.configuration;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.plantainwharf.sheet.Sheet;

/**
 * The sheet in force on this host. Its version never decreases. Written by the controllers of this package. Owned by
 * the control thread.
 */
public final class ConfigurationSection {
    private final ControlState state = ControlState.create();
    private final Map<String, Long> tickets = new LinkedHashMap<>();
    private Optional<Sheet> inForce = Optional.empty();
    private boolean behind = true;

    private ConfigurationSection() {}

    /** Returns a section without a sheet. */
    public static ConfigurationSection create() {
        return new ConfigurationSection();
    }

    /** Returns this host's copy of the control group's state, which the consensus controller applies commands to. */
    public ControlState state() {
        return state;
    }

    void addSubmission(String proposalId, long ticket) {
        tickets.put(proposalId, ticket);
    }

    Optional<Long> removeSubmission(String proposalId) {
        return Optional.ofNullable(tickets.remove(proposalId));
    }

    /** Returns the sheet in force. */
    public Optional<Sheet> inForce() {
        return inForce;
    }

    /** Returns the version in force, 0 for none. */
    public long version() {
        return inForce.map(Sheet::version).orElse(0L);
    }

    /** Says whether this host has not heard the majority recently, so that a newer sheet may exist. */
    public boolean behind() {
        return behind;
    }

    /** Puts a newer sheet in force; ignores one that is not newer. For the configuration controller. */
    public boolean putInForce(Sheet sheet) {
        if (sheet.version() <= version()) {
            return false;
        }
        inForce = Optional.of(sheet);
        return true;
    }

    /** Records whether a newer sheet may exist. For the configuration controller. */
    public void setBehind(boolean value) {
        behind = value;
    }
}
