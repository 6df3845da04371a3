package io.persimmonstack.coordinator;

import io.persimmonstack.runtime.Program;
import io.persimmonstack.runtime.ProgramContext;
import io.persimmonstack.runtime.ProgramMain;
import io.persimmonstack.runtime.RunningProgram;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.tls.TlsSettings;
import java.util.Optional;

/** Entry point of the {@code persimmon-coordinator} daemon. */
public final class CoordinatorProgram implements Program<CoordinatorSettings> {
    /**
     * Starts the coordinator and runs until the process receives a stop signal.
     *
     * @param arguments command-line arguments
     */
    public static void main(String[] arguments) {
        ProgramMain.main(new CoordinatorProgram(), arguments);
    }

    @Override
    public String name() {
        return "persimmon-coordinator";
    }

    @Override
    public String summary() {
        return "Knows the fleet's members and configuration, owns runners and orders loads and unloads on them.";
    }

    @Override
    public Class<CoordinatorSettings> settingsType() {
        return CoordinatorSettings.class;
    }

    @Override
    public Optional<TlsSettings> adminTls(CoordinatorSettings settings) {
        return settings.adminTls();
    }

    @Override
    public RunningProgram start(CoordinatorSettings settings, ProgramContext context) throws RuntimeFailure {
        return CoordinatorNode.start(
                settings, context, PlatformClients.open(settings, context.metrics(), context.closer()));
    }
}
