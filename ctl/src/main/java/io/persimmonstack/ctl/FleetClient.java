package io.persimmonstack.ctl;

import io.persimmonstack.backends.peer.PeerTrust;
import io.persimmonstack.configuration.ConfigurationCodec;
import io.persimmonstack.configuration.ConfigurationException;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.feed.CommitOutcome;
import io.persimmonstack.coordination.feed.ConfigurationStore;
import io.persimmonstack.coordination.feed.StoredHead;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.time.TimeSource;
import io.persimmonstack.runtime.Closer;
import io.persimmonstack.runtime.ProgramException;
import io.persimmonstack.wire.PeerAddress;
import io.persimmonstack.wire.ThriftPeers;
import io.persimmonstack.wire.WireException;
import io.persimmonstack.wire.codec.ConfigurationHeadCodec;
import io.persimmonstack.wire.gen.Coordinator;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/** Reads and commits the configuration in the key-value store, and calls coordinators, for the commands. */
public final class FleetClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int CALL_TIMEOUT_MS = 5_000;
    private static final int MAX_COMMIT_ATTEMPTS = 3;
    private final CtlSettings settings;
    private final ConfigurationStore store;
    private final Closer closer = Closer.create();
    private final ThriftPeers<Coordinator.Client> coordinators;

    private FleetClient(CtlSettings settings, ConfigurationStore store) throws ProgramException {
        this.settings = settings;
        this.store = store;
        this.coordinators = closer.add(ThriftPeers.of(
                new Coordinator.Client.Factory(), CONNECT_TIMEOUT_MS, PeerTrust.of(settings.peerTls(), closer)));
    }

    /**
     * Creates a client.
     *
     * @param settings addresses, TLS files and author
     * @param kv key-value store
     * @return the client
     * @throws ProgramException if the TLS files for connections to coordinators cannot be used
     */
    public static FleetClient of(CtlSettings settings, KvStore kv) throws ProgramException {
        return new FleetClient(
                settings, ConfigurationStore.of(kv, ConfigurationHeadCodec.create(), TimeSource.system()));
    }

    /** Returns the settings of persimmonctl. */
    public CtlSettings settings() {
        return settings;
    }

    /**
     * Reads the active configuration.
     *
     * @return the configuration, {@link FleetConfiguration#empty()} if nothing has been committed
     * @throws ProgramException if the key-value store does not answer or the stored configuration is corrupt
     */
    public FleetConfiguration activeConfiguration() throws ProgramException {
        try {
            Optional<StoredHead> head = store.readHead();
            return head.isEmpty()
                    ? FleetConfiguration.empty()
                    : ConfigurationCodec.decode(store.readContent(head.get().head()));
        } catch (KvException e) {
            throw new ProgramException("cannot read the key-value service " + settings.kv() + ": " + e.getMessage(), e);
        } catch (ConfigurationException e) {
            throw new ProgramException("the configuration in force cannot be decoded: " + e.getMessage(), e);
        }
    }

    /**
     * Commits a configuration as the successor of the active one. A commit whose outcome is unknown is repeated with
     * the same operation identifier, so it takes effect at most once.
     *
     * @param next configuration whose version is one higher than that of the configuration it was derived from
     * @throws ProgramException if another version was committed first, or if the outcome is still unknown after
     *     {@value #MAX_COMMIT_ATTEMPTS} attempts
     */
    public void commit(FleetConfiguration next) throws ProgramException {
        String operation = UUID.randomUUID().toString();
        byte[] content = ConfigurationCodec.encode(next);
        KvException lastFailure = null;
        for (int attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt++) {
            try {
                requireCommitted(store.commit(next.version() - 1, content, operation, settings.author()), next);
                return;
            } catch (KvException e) {
                lastFailure = e;
            }
        }
        throw new ProgramException(
                "version " + next.version() + " may have been committed; check 'persimmonctl status' before you try"
                        + " again: " + lastFailure.getMessage(),
                lastFailure);
    }

    private static void requireCommitted(CommitOutcome outcome, FleetConfiguration next) throws ProgramException {
        switch (outcome) {
            case CommitOutcome.Committed committed -> {}
            case CommitOutcome.Conflict conflict ->
                throw new ProgramException("nothing was changed: the active version is "
                        + conflict.current()
                                .map(head -> head.version() + " by " + head.author())
                                .orElse("0")
                        + ", expected version " + (next.version() - 1) + "; run the command again");
        }
    }

    /**
     * Calls the coordinators of the settings in order until one answers.
     *
     * @param call call to make
     * @param <T> type of the answer
     * @return the answer
     * @throws ProgramException if none answers, or if the first one that answers refuses the call
     */
    public <T> T callFirst(ThriftPeers.Call<Coordinator.Client, T> call) throws ProgramException {
        List<String> failures = new ArrayList<>();
        for (String address : settings.coordinators()) {
            try {
                return coordinators.call(PeerAddress.parse(address), CALL_TIMEOUT_MS, call);
            } catch (WireException e) {
                if (e.progress() == WireException.Progress.REFUSED) {
                    throw new ProgramException(e.getMessage(), e);
                }
                failures.add(e.getMessage());
            }
        }
        throw new ProgramException("no coordinator answered: " + String.join("; ", failures));
    }

    /**
     * Calls the coordinator at an address.
     *
     * @param address address of the coordinator
     * @param call call to make
     * @param <T> type of the answer
     * @return the answer
     * @throws ProgramException if the coordinator does not answer or refuses the call
     */
    public <T> T callAt(PeerAddress address, ThriftPeers.Call<Coordinator.Client, T> call) throws ProgramException {
        try {
            return coordinators.call(address, CALL_TIMEOUT_MS, call);
        } catch (WireException e) {
            throw new ProgramException(e.getMessage(), e);
        }
    }

    @Override
    public void close() {
        closer.close();
    }
}
