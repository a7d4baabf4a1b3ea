package org.plantainwharf.settings;

/**
 * One problem in the settings. Immutable.
 *
 * @param path path of the key, for example {@code hosts[2].zone}
 * @param value the value as JSON, or why there is none
 * @param allowed which values are allowed
 */
public record SettingsProblem(String path, String value, String allowed) {
    @Override
    public String toString() {
        return path + ": found " + value + "; allowed: " + allowed;
    }
}
