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

/** Access of the commands to the configuration in force and to the coordinators. */
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
     * Creates the access.
     *
     * @param settings addresses
     * @param kv key-value service
     * @return the access
     * @throws ProgramException if the keys towards coordinators cannot be used
     */
    public static FleetClient of(CtlSettings settings, KvStore kv) throws ProgramException {
        return new FleetClient(
                settings, ConfigurationStore.of(kv, ConfigurationHeadCodec.create(), TimeSource.system()));
    }

    /** Returns the settings. */
    public CtlSettings settings() {
        return settings;
    }

    /**
     * Reads the configuration in force.
     *
     * @return the configuration, empty where nothing was ever committed
     * @throws ProgramException if it cannot be read
     */
    public FleetConfiguration activeConfiguration() throws ProgramException {
        try {
            Optional<StoredHead> head = store.readHead();
            return head.isEmpty()
                    ? FleetConfiguration.empty()
                    : ConfigurationCodec.decode(store.readContent(head.get().head()));
        } catch (KvException e) {
            throw new ProgramException(
                    "the key-value service " + settings.kv() + " gave no answer: " + e.getMessage(), e);
        } catch (ConfigurationException e) {
            throw new ProgramException("the configuration in force cannot be read: " + e.getMessage(), e);
        }
    }

    /**
     * Commits the version that follows the one in force.
     *
     * @param next configuration whose version is one higher than the one that it was derived from
     * @throws ProgramException if another change came first, or if it cannot be told whether it was committed
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
                "version " + next.version() + " may or may not be in force; see 'persimmonctl status' before you try"
                        + " again: " + lastFailure.getMessage(),
                lastFailure);
    }

    private static void requireCommitted(CommitOutcome outcome, FleetConfiguration next) throws ProgramException {
        switch (outcome) {
            case CommitOutcome.Committed committed -> {}
            case CommitOutcome.Conflict conflict ->
                throw new ProgramException("nothing was changed: version "
                        + conflict.current()
                                .map(head -> head.version() + " by " + head.author())
                                .orElse("0")
                        + " came first, expected version " + (next.version() - 1) + "; run the command again");
        }
    }

    /**
     * Calls the first coordinator that answers.
     *
     * @param call call to make
     * @param <T> type of the answer
     * @return the answer
     * @throws ProgramException if none answers, or the one that does refuses
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
     * Calls one coordinator.
     *
     * @param address address of the coordinator
     * @param call call to make
     * @param <T> type of the answer
     * @return the answer
     * @throws ProgramException if it does not answer or refuses
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
