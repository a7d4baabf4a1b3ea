package org.plantainwharf.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.plantainwharf.call.Content;
import org.plantainwharf.control.Clock;
import org.plantainwharf.daemon.ControlDaemon;
import org.plantainwharf.daemon.EntryDaemon;
import org.plantainwharf.daemon.RoleSettings;
import org.plantainwharf.daemon.RunningDaemon;
import org.plantainwharf.document.ServiceDocument;
import org.plantainwharf.error.ErrorKind;
import org.plantainwharf.error.Failure;
import org.plantainwharf.log.LineLog;

/** Runs a daemon in the role that the platform's settings give, and checks such settings. Stateless. */
public final class PlatformCommand {
    /** Environment variable with the path of the settings file. */
    public static final String SETTINGS_VARIABLE = "PLANTAINWHARF_BOOT";

    private PlatformCommand() {}

    /**
     * Runs until SIGTERM, then stops gracefully.
     *
     * @param output receives the log
     * @param onHangUp receives the action to run on SIGHUP
     * @return the reason why the daemon could not start, or 0 after a graceful shutdown
     */
    public static Either<Failure, Integer> serve(Path file, PrintStream output, Consumer<Runnable> onHangUp) {
        return read(file).flatMap(settings -> {
            LineLog log = LineLog.start(Clock.system(), output, settings.nodeName());
            onHangUp.accept(() -> reload(file, log));
            return start(settings, log).flatMap(PlatformCommand::serveUntilStopped);
        });
    }

    /** Returns a summary of the daemon that the settings describe, or every problem in them. */
    public static Either<Failure, String> check(Path file) {
        return read(file).map(settings -> {
            RoleSettings role = RoleSettingsMapper.toRoleSettings(settings);
            return "role " + role.settings().hostClass() + ", host "
                    + role.settings().host() + " in zone "
                    + role.settings().zone() + ", peer address "
                    + role.settings().peerAddress() + ", seeds "
                    + role.seeds().keySet() + ", initial voters " + role.initialVoters();
        });
    }

    /** Path at which control daemons return the newest service document to operators. */
    public static String documentPath() {
        return WireNames.READ_DOCUMENT_PATH;
    }

    /** Returns the service document in a file of the operator's config, or every problem in it. */
    public static Either<Failure, ServiceDocument> readDocument(byte[] config) {
        return DocumentReader.create().decode(Content.of("application/json", config));
    }

    private static Either<Failure, PlatformSettings> read(Path file) {
        try {
            return PlatformSettings.parse(Files.readString(file));
        } catch (IOException e) {
            return Either.left(Failure.of(ErrorKind.SETTINGS_INVALID, "cannot read " + file + ": " + e));
        }
    }

    private static void reload(Path file, LineLog log) {
        read(file)
                .peek(settings -> log.write("settings_reloaded", "seeds", String.join(",", settings.seeds())))
                .peekLeft(failure -> log.write("settings_not_reloaded", "problem", failure.message()));
    }

    private static Either<Failure, RunningDaemon> start(PlatformSettings settings, LineLog log) {
        RoleSettings role = RoleSettingsMapper.toRoleSettings(settings);
        DocumentReader codec = DocumentReader.create();
        if (settings.controlAddress().isPresent()) {
            return ControlDaemon.start(
                            role,
                            codec,
                            (events, telemetry) -> ControlApi.create(role.settings(), codec, events, telemetry),
                            events -> settings.cloudAddress()
                                    .<org.plantainwharf.daemon.CloudApi>map(
                                            address -> CloudApiClient.create(address, settings.nodeName(), events, log))
                                    .orElseGet(NoOpCloudApi::new),
                            log)
                    .map(daemon -> daemon);
        }
        return EntryDaemon.start(role, WireNames.DIALECT, codec, log).map(daemon -> daemon);
    }

    private static Either<Failure, Integer> serveUntilStopped(RunningDaemon daemon) {
        try {
            daemon.serveUntilStopped();
            return Either.right(0);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Either.left(Failure.of(ErrorKind.INTERNAL_ERROR));
        }
    }
}
