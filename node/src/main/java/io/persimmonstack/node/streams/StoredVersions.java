package io.persimmonstack.node.streams;

import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.RateLimitedLog;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.store.NodeKeys;
import io.persimmonstack.node.store.RunnerDecoder;
import io.persimmonstack.node.store.UnreadableException;
import io.persimmonstack.runtime.event.EventLog;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/**
 * Reads the software versions from the store: those of the listed runners, and those that the nodes have recorded.
 * Requests that come while a read is under way share the next one. Thread-safe.
 */
public final class StoredVersions implements CurrentVersions {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(StoredVersions.class));
    /** Longest wait for the store, in which a caller that resumes a stream gets no answer. */
    private static final long MAX_WAIT_MS = 400;

    private final KvStore store;
    private final String runnersPrefix;
    private final RunnerDecoder decoder;
    private Optional<CompletableFuture<Optional<Set<StreamOrigin>>>> next = Optional.empty();
    private boolean reading;

    private StoredVersions(KvStore store, String runnersPrefix, RunnerDecoder decoder) {
        this.store = store;
        this.runnersPrefix = runnersPrefix;
        this.decoder = decoder;
    }

    /**
     * Returns a reader.
     *
     * @param store store to read
     * @param runnersPrefix prefix of the keys of runners; the rest of a key is the identifier of the runner
     * @param decoder decodes the entries of runners
     */
    public static StoredVersions of(KvStore store, String runnersPrefix, RunnerDecoder decoder) {
        return new StoredVersions(store, runnersPrefix, decoder);
    }

    @Override
    public Optional<Set<StreamOrigin>> read() throws InterruptedException {
        try {
            return nextRead().get(MAX_WAIT_MS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            return Optional.empty();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a read reports its failure as empty", e);
        }
    }

    /** Returns the first read that has not begun yet. */
    private synchronized CompletableFuture<Optional<Set<StreamOrigin>>> nextRead() {
        CompletableFuture<Optional<Set<StreamOrigin>>> awaited = next.orElseGet(CompletableFuture::new);
        next = Optional.of(awaited);
        if (!reading) {
            startNext();
        }
        return awaited;
    }

    private void startNext() {
        CompletableFuture<Optional<Set<StreamOrigin>>> started = next.orElseThrow();
        next = Optional.empty();
        reading = true;
        Thread.ofVirtual().name("read-versions").start(() -> {
            try {
                started.complete(readStore());
            } finally {
                started.complete(Optional.empty());
                ended();
            }
        });
    }

    private synchronized void ended() {
        reading = false;
        if (next.isPresent()) {
            startNext();
        }
    }

    private Optional<Set<StreamOrigin>> readStore() {
        Set<StreamOrigin> versions = new HashSet<>();
        try {
            for (KvEntry entry : store.list(runnersPrefix).entries()) {
                addVersionOf(entry, versions);
            }
            for (KvEntry entry : store.list(NodeKeys.STREAMS).entries()) {
                StreamRecordCodec.decode(entry.value()).forEach(recorded -> versions.add(recorded.origin()));
            }
            return Optional.of(versions);
        } catch (KvException e) {
            LOG.write(NodeEvent.VERSIONS_NOT_READ, e.getMessage());
            return Optional.empty();
        }
    }

    /** An entry that cannot be decoded names no runner to use, and so no version. */
    private void addVersionOf(KvEntry entry, Set<StreamOrigin> versions) {
        String id = entry.key().substring(runnersPrefix.length());
        try {
            Runner runner = decoder.runner(id, entry.value());
            versions.add(new StreamOrigin(runner.service(), runner.softwareVersion()));
        } catch (UnreadableException e) {
            LOG.write(NodeEvent.ENTRY_UNREADABLE, entry.key(), entry.revision(), e.getMessage());
        }
    }
}
