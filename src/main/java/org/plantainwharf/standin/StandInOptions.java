package org.plantainwharf.standin;

import java.util.List;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/**
 * Command-line options common to both stand-ins. Immutable.
 *
 * @param port port to listen on, 0 for any free port
 * @param operators operator addresses of daemons, tried in turn
 * @param slots maximum number of concurrent requests
 */
record StandInOptions(String server, String zone, String hostClass, int port, List<String> operators, int slots) {
    /** Registers the options with a parser. */
    static void addTo(OptionParser parser) {
        parser.accepts("server", "name of this server").withRequiredArg().defaultsTo("server-1");
        parser.accepts("zone", "availability zone").withRequiredArg().defaultsTo("zone-a");
        parser.accepts("host-class", "host class").withRequiredArg().defaultsTo("standard");
        parser.accepts("port", "port to listen on, 0 for any free port")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        parser.accepts("operators", "operator addresses of daemons")
                .withRequiredArg()
                .withValuesSeparatedBy(',')
                .defaultsTo(new String[0]);
        parser.accepts("slots", "maximum number of concurrent requests")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(8);
    }

    /** Returns the values of the parsed options. */
    static StandInOptions of(OptionSet options) {
        return new StandInOptions(
                text(options, "server"),
                text(options, "zone"),
                text(options, "host-class"),
                number(options, "port"),
                texts(options, "operators"),
                number(options, "slots"));
    }

    static String text(OptionSet options, String name) {
        return String.valueOf(options.valueOf(name));
    }

    static int number(OptionSet options, String name) {
        return Integer.parseInt(text(options, name));
    }

    static List<String> texts(OptionSet options, String name) {
        return options.valuesOf(name).stream().map(String::valueOf).toList();
    }
}
