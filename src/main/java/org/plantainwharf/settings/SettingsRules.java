package org.plantainwharf.settings;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.plantainwharf.identity.AvailabilityZone;
import org.plantainwharf.identity.HostId;

/** Rules that relate several keys of the settings. Thread-safe. */
public final class SettingsRules {
    private SettingsRules() {}

    /** Returns the problems that prevent a start, in the order of the keys. */
    public static List<SettingsProblem> problems(Settings settings) {
        List<SettingsProblem> problems = new ArrayList<>();
        checkListenAddresses(settings, problems);
        checkHosts(settings, problems);
        checkOwnEntry(settings, problems);
        Settings.Timings timings = settings.timings();
        if (timings.drainNoticeMillis() > timings.drainLimitMillis()) {
            problems.add(new SettingsProblem(
                    "timings.drainNoticeMillis",
                    String.valueOf(timings.drainNoticeMillis()),
                    "at most timings.drainLimitMillis, which is " + timings.drainLimitMillis()));
        }
        Settings.Bounds bounds = settings.bounds();
        if (bounds.accountQueueCapacity() > bounds.rankQueueCapacity()) {
            problems.add(new SettingsProblem(
                    "bounds.accountQueueCapacity",
                    String.valueOf(bounds.accountQueueCapacity()),
                    "at most bounds.rankQueueCapacity, which is " + bounds.rankQueueCapacity()));
        }
        return List.copyOf(problems);
    }

    /** Returns warnings about settings that reduce fault tolerance but do not prevent a start. */
    public static List<String> warnings(Settings settings) {
        List<String> warnings = new ArrayList<>();
        Map<String, Integer> votersByZone = new TreeMap<>();
        int voters = 0;
        for (Settings.HostEntry entry : settings.hosts()) {
            if (entry.voter()) {
                voters++;
                votersByZone.merge(entry.zone().value(), 1, Integer::sum);
            }
        }
        int majority = voters / 2 + 1;
        for (Map.Entry<String, Integer> zone : votersByZone.entrySet()) {
            int remainingVoters = voters - zone.getValue();
            if (remainingVoters < majority) {
                warnings.add(
                        "losing availability zone " + zone.getKey() + " leaves " + remainingVoters + " of " + voters
                                + " voters, and a majority needs " + majority
                                + ": orders and long work would be refused; spread the voters over more zones");
            }
        }
        return List.copyOf(warnings);
    }

    /**
     * Returns differences between the settings of daemons of one system that are not allowed, in the order of the files.
     *
     * @param settingsByFile settings with the name of their file
     */
    public static List<String> conflicts(Map<String, Settings> settingsByFile) {
        List<String> conflicts = new ArrayList<>();
        Map<HostId, String> fileByHost = new HashMap<>();
        Map.Entry<String, Settings> first = null;
        for (Map.Entry<String, Settings> file : settingsByFile.entrySet()) {
            String otherFile = fileByHost.putIfAbsent(file.getValue().host(), file.getKey());
            if (otherFile != null) {
                conflicts.add(
                        file.getKey() + ": host " + file.getValue().host() + " is also configured in " + otherFile);
            }
            if (first == null) {
                first = file;
                continue;
            }
            if (!Set.copyOf(first.getValue().hosts())
                    .equals(Set.copyOf(file.getValue().hosts()))) {
                conflicts.add(file.getKey() + ": hosts differ from those in " + first.getKey());
            }
            if (first.getValue().recordGroups() != file.getValue().recordGroups()) {
                conflicts.add(file.getKey() + ": recordGroups differs from that in " + first.getKey());
            }
        }
        return List.copyOf(conflicts);
    }

    private static void checkListenAddresses(Settings settings, List<SettingsProblem> problems) {
        Map<String, String> keyByAddress = new HashMap<>();
        checkListenAddress("callerAddress", settings.callerAddress(), keyByAddress, problems);
        checkListenAddress("operatorAddress", settings.operatorAddress(), keyByAddress, problems);
        checkListenAddress("peerAddress", settings.peerAddress(), keyByAddress, problems);
    }

    private static void checkListenAddress(
            String key, String address, Map<String, String> keyByAddress, List<SettingsProblem> problems) {
        checkIpv6Address(key, address, problems);
        if (hasPortZero(address)) {
            return;
        }
        String otherKey = keyByAddress.putIfAbsent(address, key);
        if (otherKey != null) {
            problems.add(new SettingsProblem(key, quote(address), "an address other than that of " + otherKey));
        }
    }

    private static void checkHosts(Settings settings, List<SettingsProblem> problems) {
        Set<HostId> hosts = new HashSet<>();
        Set<String> addresses = new HashSet<>();
        boolean hasVoter = false;
        for (int index = 0; index < settings.hosts().size(); index++) {
            Settings.HostEntry entry = settings.hosts().get(index);
            String path = "hosts[" + index + "]";
            hasVoter |= entry.voter();
            if (!hosts.add(entry.host())) {
                problems.add(
                        new SettingsProblem(path + ".host", quote(entry.host().value()), "a host that is listed once"));
            }
            checkIpv6Address(path + ".peerAddress", entry.peerAddress(), problems);
            if (hasPortZero(entry.peerAddress())) {
                if (!entry.host().equals(settings.host())) {
                    problems.add(new SettingsProblem(
                            path + ".peerAddress",
                            quote(entry.peerAddress()),
                            "a port from 1 to 65535 for another host"));
                }
            } else if (!addresses.add(entry.peerAddress())) {
                problems.add(new SettingsProblem(
                        path + ".peerAddress", quote(entry.peerAddress()), "an address that is listed once"));
            }
        }
        if (!hasVoter) {
            problems.add(new SettingsProblem("hosts", "no voter", "at least one host with \"voter\": true"));
        }
    }

    private static void checkOwnEntry(Settings settings, List<SettingsProblem> problems) {
        boolean listed = false;
        for (int index = 0; index < settings.hosts().size(); index++) {
            Settings.HostEntry entry = settings.hosts().get(index);
            if (!entry.host().equals(settings.host())) {
                continue;
            }
            listed = true;
            AvailabilityZone zone = entry.zone();
            if (!zone.equals(settings.zone())) {
                problems.add(new SettingsProblem(
                        "hosts[" + index + "].zone",
                        quote(zone.value()),
                        quote(settings.zone().value()) + ", the zone of this host"));
            }
            if (entry.voter() && settings.dataFolder().isEmpty()) {
                problems.add(new SettingsProblem(
                        "dataFolder", "no such key", "a folder on a disk, because this host is a voter"));
            }
        }
        if (!listed) {
            problems.add(new SettingsProblem("host", quote(settings.host().value()), "a host listed in hosts"));
        }
    }

    private static void checkIpv6Address(String path, String address, List<SettingsProblem> problems) {
        if (!address.startsWith("[")) {
            return;
        }
        String ipv6Address = address.substring(1, address.indexOf(']'));
        try {
            // getByName parses text with a colon as an IPv6 address and never looks it up as a name.
            InetAddress.getByName(ipv6Address);
        } catch (UnknownHostException e) {
            problems.add(new SettingsProblem(path, quote(address), "a valid IPv6 address in brackets"));
        }
    }

    private static boolean hasPortZero(String address) {
        return address.endsWith(":0");
    }

    private static String quote(String text) {
        return '"' + text + '"';
    }
}
