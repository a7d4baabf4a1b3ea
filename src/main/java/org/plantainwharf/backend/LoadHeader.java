package org.plantainwharf.backend;

import org.jspecify.annotations.Nullable;
import org.plantainwharf.forward.LoadReport;
import org.plantainwharf.forward.ServerLoad;

/**
 * Parses the load header of answers: running requests, waiting requests and slots, separated by commas, and from some
 * servers the time that work takes in percent of the usual. Further figures are skipped, so that a server that reports
 * more does not appear to report nothing. Stateless and thread-safe.
 */
final class LoadHeader {
    private static final int MINIMUM_FIGURES = 3;
    private static final int KNOWN_FIGURES = 4;

    private LoadHeader() {}

    static LoadReport parse(@Nullable String text) {
        if (text == null) {
            return new LoadReport.Absent();
        }
        String[] figures = text.split(",", -1);
        if (figures.length < MINIMUM_FIGURES) {
            return new LoadReport.Unreadable();
        }
        try {
            ServerLoad load = new ServerLoad(
                    Integer.parseInt(figures[0].strip()),
                    Integer.parseInt(figures[1].strip()),
                    Integer.parseInt(figures[2].strip()),
                    figures.length < KNOWN_FIGURES
                            ? ServerLoad.USUAL_WORK_TIME_PERCENT
                            : Integer.parseInt(figures[3].strip()));
            boolean valid =
                    load.running() >= 0 && load.waiting() >= 0 && load.slots() >= 0 && load.workTimePercent() > 0;
            return valid ? new LoadReport.Known(load, figures.length > KNOWN_FIGURES) : new LoadReport.Unreadable();
        } catch (NumberFormatException e) {
            return new LoadReport.Unreadable();
        }
    }
}
