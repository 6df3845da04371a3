package io.persimmonstack.runtime;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.runtime.admin.AdminServer;
import io.persimmonstack.runtime.admin.Readiness;
import io.persimmonstack.runtime.command.Options;
import io.persimmonstack.runtime.command.ParsedOptions;
import io.persimmonstack.runtime.event.EventLog;
import io.persimmonstack.runtime.event.FrameEvent;
import io.persimmonstack.runtime.settings.SettingsReader;
import io.persimmonstack.runtime.trace.Tracing;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;

/** Entry point of a {@link Program}: reads options and settings, serves the admin port, stops gracefully on SIGTERM. */
public final class ProgramMain {
    private static final EventLog LOG = EventLog.of(ProgramMain.class);
    private static final CountDownLatch RESOURCES_CLOSED = new CountDownLatch(1);

    private ProgramMain() {}

    /**
     * Runs a program until SIGTERM and exits the JVM with its exit code.
     *
     * @param program program to run
     * @param arguments command line
     */
    public static void main(Program<?> program, String[] arguments) {
        ExitCode code = run(program, arguments, System.out, System.err);
        if (code != ExitCode.OK) {
            System.exit(code.code());
        }
    }

    /**
     * Runs a program until SIGTERM, or prints help, version or the result of {@code --check-settings}.
     *
     * @param program program to run
     * @param arguments command line
     * @param out stream for help, version and check results
     * @param err stream for error messages
     * @return the exit code
     */
    public static ExitCode run(Program<?> program, String[] arguments, PrintStream out, PrintStream err) {
        try {
            return runChecked(program, arguments, out);
        } catch (RuntimeFailure e) {
            err.println(program.name() + ": " + e.getMessage());
            return e.exitCode();
        }
    }

    private static <S extends Record> ExitCode runChecked(Program<S> program, String[] arguments, PrintStream out)
            throws RuntimeFailure {
        Options options = options(program);
        ParsedOptions parsed = options.parse(arguments);
        if (parsed.has("help")) {
            out.print(options.usage());
            return ExitCode.OK;
        }
        if (parsed.has("version")) {
            out.println(program.name() + " " + Version.current());
            return ExitCode.OK;
        }
        parsed.rejectOperands();
        S settings = SettingsReader.read(Path.of(parsed.required("settings")), program.settingsType());
        program.check(settings);
        if (parsed.has("check-settings")) {
            out.println(parsed.required("settings") + ": ok");
            return ExitCode.OK;
        }
        serve(program, settings, AdminSettings.parse(parsed));
        return ExitCode.OK;
    }

    private static Options options(Program<?> program) {
        return Options.of(program.name(), program.summary())
                .section("Settings")
                .value("settings", "file", "settings in JSON with comments; required")
                .flag("check-settings", "checks the settings and exits")
                .section("Admin port")
                .value(
                        "admin",
                        "ip:port",
                        "serves health, metrics, traces and pages of the program; 127.0.0.1:0 when absent")
                .section("Help")
                .flag("help", "shows this text")
                .flag("version", "shows the version");
    }

    private static <S extends Record> void serve(Program<S> program, S settings, AdminSettings admin)
            throws RuntimeFailure {
        logUncaughtExceptions();
        try (Closer closer = Closer.create()) {
            Tracing tracing = closer.add(Tracing.of(program.name()));
            ProgramContext context = new ProgramContext(new MetricRegistry(), Readiness.starting(), tracing, closer);
            closer.add(AdminServer.start(admin.ip(), admin.port(), program.adminTls(settings), context));
            RunningProgram running = closer.add(program.start(settings, context));
            LOG.write(FrameEvent.STARTED, program.name(), admin.port());
            runUntilStopped(program.name(), running);
        } finally {
            allowExit();
        }
    }

    /** Logs every exception that ends a thread, as {@link FrameEvent#UNCAUGHT}; an exhausted heap ends the process. */
    public static void logUncaughtExceptions() {
        Thread.setDefaultUncaughtExceptionHandler((thread, error) -> {
            if (error instanceof VirtualMachineError fatal) {
                throw FatalErrors.end(fatal);
            }
            LOG.write(FrameEvent.UNCAUGHT, thread.getName(), error.toString(), error);
        });
    }

    /**
     * Blocks until SIGTERM and then stops the program gracefully. The shutdown hook keeps the process alive until
     * {@link #allowExit()} is called.
     *
     * @param name name of the program, for log events
     * @param running program to stop
     */
    public static void runUntilStopped(String name, RunningProgram running) {
        CountDownLatch stopRequested = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> exitAfterStop(stopRequested), "stop"));
        awaitRestoringInterrupt(stopRequested);
        stop(name, running);
    }

    /** Flushes the logs and lets the shutdown hook end the process. Called once all resources are closed. */
    public static void allowExit() {
        LogManager.shutdown();
        RESOURCES_CLOSED.countDown();
    }

    /**
     * Shutdown hook: requests the stop, waits for {@link #allowExit()} and ends the process with exit code 0. Without
     * the halt, SIGTERM would make it 143.
     */
    private static void exitAfterStop(CountDownLatch stopRequested) {
        stopRequested.countDown();
        awaitRestoringInterrupt(RESOURCES_CLOSED);
        Runtime.getRuntime().halt(ExitCode.OK.code());
    }

    private static void stop(String name, RunningProgram running) {
        long startNanos = System.nanoTime();
        LOG.write(FrameEvent.STOPPING, name);
        try {
            running.stop();
            LOG.write(FrameEvent.STOPPED, name, (System.nanoTime() - startNanos) / 1_000_000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            LOG.write(FrameEvent.STOP_FAILED, name, "interrupted");
        }
    }

    /** Waits for the latch; returns early on an interrupt and sets the interrupt flag again. */
    private static void awaitRestoringInterrupt(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
