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

    /** Returns this host's copy of the control group's state. The consensus controller applies commands to it. */
    public ControlState state() {
        return state;
    }

    void addSubmission(String proposalId, long ticket) {
        tickets.put(proposalId, ticket);
    }

    Optional<Long> removeSubmission(String proposalId) {
        return Optional.ofNullable(tickets.remove(proposalId));
    }

    /** Returns the sheet in force, empty for none. */
    public Optional<Sheet> inForce() {
        return inForce;
    }

    /** Returns the version of the sheet in force, 0 for none. */
    public long version() {
        return inForce.map(Sheet::version).orElse(0L);
    }

    /** Returns whether a newer sheet may be in force elsewhere, since this host has had no recent contact to the majority. */
    public boolean behind() {
        return behind;
    }

    /**
     * Puts a sheet in force if it is newer than the current one, and returns whether it did. Called by the configuration
     * controller only.
     */
    public boolean putInForce(Sheet sheet) {
        if (sheet.version() <= version()) {
            return false;
        }
        inForce = Optional.of(sheet);
        return true;
    }

    /** Sets whether a newer sheet may be in force elsewhere. Called by the configuration controller only. */
    public void setBehind(boolean value) {
        behind = value;
    }
}
