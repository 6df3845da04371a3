package io.persimmonstack.runtime;

import io.persimmonstack.runtime.settings.SettingsException;
import io.persimmonstack.runtime.tls.TlsSettings;
import java.util.Optional;

/**
 * Long-running program that {@link ProgramMain} configures from a JSON file, starts and stops.
 *
 * <pre>{@code
 * public static void main(String[] args) {
 *     ProgramMain.main(new RouterProgram(), args);
 * }
 * }</pre>
 *
 * @param <S> record that the settings are read into
 */
public interface Program<S extends Record> {
    /** Returns the command name, such as {@code persimmon-router}. */
    String name();

    /** Returns a one-line description for the usage help. */
    String summary();

    /** Returns the record class whose components are the settings keys. */
    Class<S> settingsType();

    /**
     * Validates rules that the types and bounds of the settings cannot express. The default accepts all settings.
     *
     * @param settings settings with valid types and bounds
     * @throws SettingsException if the settings contradict each other
     */
    default void check(S settings) throws SettingsException {}

    /**
     * Returns the TLS settings of the admin port. The default is plain HTTP.
     *
     * @param settings checked settings
     * @return the TLS settings, empty for plain HTTP
     */
    default Optional<TlsSettings> adminTls(S settings) {
        return Optional.empty();
    }

    /**
     * Starts the program and returns once it accepts work.
     *
     * @param settings checked settings
     * @param context shared resources, closed after the program has stopped
     * @return the running program
     * @throws RuntimeFailure if the program cannot start
     */
    RunningProgram start(S settings, ProgramContext context) throws RuntimeFailure;
}
