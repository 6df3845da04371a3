package io.persimmonstack.standin;

import io.persimmonstack.runtime.Program;
import io.persimmonstack.runtime.ProgramContext;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.runtime.ProgramMain;
import io.persimmonstack.runtime.RunningProgram;
import io.persimmonstack.runtime.settings.SettingsException;

/** Program {@code persimmon-standin}: runs the stand-ins that its settings list in one process. */
public final class StandinProgram implements Program<StandinSettings> {
    /** Runs the program. */
    public static void main(String[] arguments) {
        ProgramMain.main(new StandinProgram(), arguments);
    }

    @Override
    public String name() {
        return "persimmon-standin";
    }

    @Override
    public String summary() {
        return "Takes the place of the platform in tests and demos.";
    }

    @Override
    public Class<StandinSettings> settingsType() {
        return StandinSettings.class;
    }

    @Override
    public void check(StandinSettings settings) throws SettingsException {
        if (!settings.engines().isEmpty() && settings.weightStore().isEmpty()) {
            throw new SettingsException("weightStore: missing; engines need it for the sizes of their models");
        }
    }

    @Override
    public RunningProgram start(StandinSettings settings, ProgramContext context) throws ProgramException {
        Standins standins = Standins.start(settings);
        context.readiness().ready();
        return new RunningProgram() {
            @Override
            public void stop() {
                context.readiness().notReady("stopping");
            }

            @Override
            public void close() {
                standins.close();
            }
        };
    }
}
