import java.util.concurrent.atomic.AtomicLong;

/**
 * Case: hundreds of changes of a config with many routes; then the config is read back, before and after all control
 * processes were killed and started again.
 */
final class LargeConfig {
    private static final int CHANGES = 230;
    private static final int MANY_ROUTES = 2 * 1_400;
    private static final int FEW_ROUTES = 8;
    /** Smallest pause of a series of changes in the users' site files. */
    private static final long GAP_MILLIS = 60;

    private LargeConfig() {}

    public static void main(String[] arguments) throws Exception {
        int result = 2;
        try (Rig rig = new Rig(arguments[0])) {
            result = run(rig);
            rig.note("result %d", result);
        }
        System.exit(result);
    }

    private static int run(Rig rig) throws Exception {
        int routes = rig.trouble ? MANY_ROUTES : FEW_ROUTES;
        rig.startSystem(4, 1);
        if (rig.replaceConfig(Documents.config(1, FEW_ROUTES), 20_000) != 200) {
            rig.note("the first config was not acknowledged");
            return 2;
        }
        rig.note("a config has %d bytes", Documents.config(1_000, routes).length());
        AtomicLong newest = new AtomicLong(1);
        long allowedMillis = 4_000 + 3L * routes;
        for (int change = 0; change < CHANGES && rig.millis() < 55_000; change++) {
            long version = 10 + 3L * change;
            long sent = rig.millis();
            int status = rig.replaceConfig(Documents.config(version, routes), allowedMillis);
            if (status == 200) {
                newest.set(version);
            }
            if (status != 200 || change % 20 == 0) {
                rig.note("version %d: status %d after %d ms", version, status, rig.millis() - sent);
            }
            if (status != 200) {
                break;
            }
            Thread.sleep(Math.max(0, sent + GAP_MILLIS - rig.millis()));
        }
        rig.note("newest acknowledged version %d", newest.get());
        for (Rig.Daemon daemon : rig.controls) {
            rig.note("%s: %s, out of memory: %d", daemon.name, daemon.alive() ? "runs" : "has ended",
                    daemon.log("OutOfMemoryError").size());
        }
        Rig.Answer answer = rig.readConfig(15_000);
        long readBefore = answer.status == 200 ? version(answer.text()) : -1;
        rig.note("read back without a restart: status %d, version %d", answer.status, readBefore);
        for (Rig.Daemon daemon : rig.controls) {
            if (daemon.alive()) {
                daemon.kill();
            }
        }
        Thread.sleep(500);
        for (Rig.Daemon daemon : rig.controls) {
            daemon.start();
        }
        answer = rig.readConfig(15_000);
        long read = answer.status == 200 ? version(answer.text()) : -1;
        rig.note("read back after all control processes were killed and started: status %d, version %d", answer.status, read);
        for (Rig.Daemon daemon : rig.controls) {
            rig.note("%s: %s, out of memory: %d", daemon.name, daemon.alive() ? "runs" : "has ended",
                    daemon.log("OutOfMemoryError").size());
        }
        return readBefore >= newest.get() && read >= newest.get() ? 0 : 1;
    }

    private static long version(String config) {
        int from = config.indexOf("\"version\":") + 10;
        int to = from;
        while (Character.isDigit(config.charAt(to))) {
            to++;
        }
        return Long.parseLong(config.substring(from, to));
    }
}
