package org.plantainwharf.settings;

/**
 * One thing that is wrong with settings. Immutable.
 *
 * @param path the key, for example {@code hosts[2].zone}
 * @param value the value as JSON, or why there is none
 * @param allowed what is allowed there
 */
public record SettingsProblem(String path, String value, String allowed) {
    @Override
    public String toString() {
        return path + ": found " + value + "; allowed: " + allowed;
    }
}
