package io.persimmonstack.ctl;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.backends.kv.EtcdKvStore;
import io.persimmonstack.backends.kv.KvOptions;
import io.persimmonstack.runtime.ExitCode;
import io.persimmonstack.wire.PeerAddress;

/** Entry point of persimmonctl. */
public final class CtlMain {
    private CtlMain() {}

    /**
     * Runs one command and ends the process with its exit code.
     *
     * @param arguments command-line arguments
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments).code());
    }

    private static ExitCode run(String... arguments) {
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults())) {
            PersimmonCtl.KvConnector kv = settings -> EtcdKvStore.create(
                    connector, PeerAddress.parse(settings.kv()), KvOptions.defaults(), new MetricRegistry());
            return PersimmonCtl.of(new Terminal(System.out, System.err), kv).run(arguments);
        }
    }
}
