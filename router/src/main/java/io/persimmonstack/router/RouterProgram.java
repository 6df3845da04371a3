package io.persimmonstack.router;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.kv.EtcdKvStore;
import io.persimmonstack.backends.kv.KvOptions;
import io.persimmonstack.runtime.Program;
import io.persimmonstack.runtime.ProgramContext;
import io.persimmonstack.runtime.ProgramMain;
import io.persimmonstack.runtime.RunningProgram;
import io.persimmonstack.runtime.RuntimeFailure;
import io.persimmonstack.runtime.settings.SettingsException;
import io.persimmonstack.runtime.tls.TlsSettings;
import io.persimmonstack.wire.PeerAddress;
import java.util.Optional;

/** Entry point and description of the program {@code persimmon-router}. */
public final class RouterProgram implements Program<RouterSettings> {
    private RouterProgram() {}

    /**
     * Starts the program.
     *
     * @param arguments command line
     */
    public static void main(String[] arguments) {
        ProgramMain.main(create(), arguments);
    }

    /** Returns the program. */
    public static RouterProgram create() {
        return new RouterProgram();
    }

    @Override
    public String name() {
        return "persimmon-router";
    }

    @Override
    public String summary() {
        return "Accepts callers' requests, admits, claims, dispatches and relays them.";
    }

    @Override
    public Class<RouterSettings> settingsType() {
        return RouterSettings.class;
    }

    @Override
    public void check(RouterSettings settings) throws SettingsException {
        requireNotBlank("node", settings.node());
        requireNotBlank("zone", settings.zone());
        requireNotBlank("region", settings.region());
        requireFixedPort("callersAddress", settings.callersAddress());
        requireFixedPort("peerAddress", settings.peerAddress());
    }

    private static void requireNotBlank(String key, String value) throws SettingsException {
        if (value.isBlank()) {
            throw new SettingsException(key + ": '" + value + "'; expected a non-blank name");
        }
    }

    private static void requireFixedPort(String key, String address) throws SettingsException {
        if (PeerAddress.parse(address).port() == 0) {
            throw new SettingsException(key + ": '" + address + "'; expected a port other than 0");
        }
    }

    @Override
    public Optional<TlsSettings> adminTls(RouterSettings settings) {
        return settings.adminTls();
    }

    @Override
    public RunningProgram start(RouterSettings settings, ProgramContext context) throws RuntimeFailure {
        KvSettings kv = settings.kv();
        HttpConnector connector = context.closer()
                .add(HttpConnector.create(
                        HttpConnectorOptions.defaults(context.metrics()).withIoThreads(1)));
        KvOptions options =
                KvOptions.defaults().withBudget(kv.readsPerSecond(), kv.writesPerSecond(), kv.budgetWaitMs());
        EtcdKvStore store = EtcdKvStore.create(connector, PeerAddress.parse(kv.endpoint()), options, context.metrics());
        return Router.start(settings, store, context);
    }
}
