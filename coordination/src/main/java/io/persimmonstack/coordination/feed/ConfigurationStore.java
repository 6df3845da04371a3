package io.persimmonstack.coordination.feed;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.KvAmbiguousException;
import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.kv.RecordCodec;
import io.persimmonstack.coordination.kv.WriteOutcome;
import io.persimmonstack.coordination.time.TimeSource;
import java.io.ByteArrayOutputStream;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;

/**
 * Reads and commits configurations in the key-value service. A head record identifies the active version; its content
 * is stored in separate chunks, because it can exceed the maximum size of a stored value.
 *
 * <pre>{@code
 * ConfigurationStore store = ConfigurationStore.of(kv, headCodec, TimeSource.system());
 * long base = store.readHead().map(stored -> stored.head().version()).orElse(0L);
 * CommitOutcome outcome = store.commit(base, content, operationId, "planner");
 * }</pre>
 */
public final class ConfigurationStore {
    /** Key of the head record. */
    public static final String HEAD_KEY = "/persimmon/config/head";

    private static final String PREFIX = "/persimmon/config/";
    /** Maximum size of a chunk; below {@link KvStore#MAX_VALUE_BYTES}. */
    private static final int MAX_CHUNK_BYTES = 900_000;
    /** Number of later commits across which a repeated operation is still recognised as committed. */
    private static final int MAX_EARLIER_OPERATIONS = 32;

    /** The chunks of a version are deleted when this many later versions have been committed. */
    private static final int RETAINED_VERSIONS = 8;
    /** Attempts per commit while the outcome of its writes is ambiguous. */
    private static final int MAX_COMMIT_ATTEMPTS = 4;

    private final KvStore store;
    private final RecordCodec<ConfigurationHead> codec;
    private final TimeSource time;

    private ConfigurationStore(KvStore store, RecordCodec<ConfigurationHead> codec, TimeSource time) {
        this.store = store;
        this.codec = codec;
        this.time = time;
    }

    /**
     * Creates a store.
     *
     * @param store key-value service
     * @param codec codec of the head record
     * @param time clock for the commit times in the heads
     * @return the store
     */
    public static ConfigurationStore of(KvStore store, RecordCodec<ConfigurationHead> codec, TimeSource time) {
        return new ConfigurationStore(store, codec, time);
    }

    /**
     * Reads the head of the active configuration.
     *
     * @return the head, or empty if nothing has been committed
     * @throws KvException if the read failed or the head is corrupt
     */
    public Optional<StoredHead> readHead() throws KvException {
        Optional<KvEntry> entry = store.get(HEAD_KEY);
        return entry.isEmpty() ? Optional.empty() : Optional.of(decode(entry.get()));
    }

    private StoredHead decode(KvEntry entry) throws KvCorruptException {
        return new StoredHead(codec.decode(entry.value()), entry.revision());
    }

    /**
     * Reads the content of a configuration and verifies its digest.
     *
     * @param head head of the configuration
     * @return the content
     * @throws KvException if a chunk is missing, the digest does not match or a read failed
     */
    public byte[] readContent(ConfigurationHead head) throws KvException {
        ByteArrayOutputStream content = new ByteArrayOutputStream();
        for (int chunk = 0; chunk < head.chunks(); chunk++) {
            String key = chunkKey(head.version(), head.operation(), chunk);
            Optional<KvEntry> entry = store.get(key);
            if (entry.isEmpty()) {
                throw new KvCorruptException(key + ": chunk is missing; expected " + head.chunks() + " chunks");
            }
            content.writeBytes(entry.get().value());
        }
        byte[] bytes = content.toByteArray();
        String digest = sha256(bytes);
        if (!digest.equals(head.digest())) {
            throw new KvCorruptException(
                    "configuration " + head.version() + ": digest " + digest + "; expected " + head.digest());
        }
        return bytes;
    }

    /**
     * Commits the successor of a base version. Idempotent: after an ambiguous write the head is read to find out
     * whether the commit took effect, and calling again with the same operation never commits twice.
     *
     * @param baseVersion version that the content was derived from, 0 if nothing has been committed
     * @param content content of the new version
     * @param operation unique identifier of the operation
     * @param author author recorded in the head
     * @return whether the content was committed
     * @throws KvException if a call failed or the outcome stayed ambiguous; call again with the same operation
     */
    public CommitOutcome commit(long baseVersion, byte[] content, String operation, String author) throws KvException {
        KvException lastAmbiguity = null;
        for (int attempt = 0; attempt < MAX_COMMIT_ATTEMPTS; attempt++) {
            try {
                return attemptCommit(baseVersion, content, operation, author);
            } catch (KvAmbiguousException e) {
                lastAmbiguity = e;
            }
        }
        throw lastAmbiguity;
    }

    private CommitOutcome attemptCommit(long baseVersion, byte[] content, String operation, String author)
            throws KvException {
        Optional<StoredHead> current = readHead();
        Optional<CommitOutcome> resolved = resolveFromHead(current.map(StoredHead::head), baseVersion, operation);
        if (resolved.isPresent()) {
            return resolved.get();
        }
        List<byte[]> chunks = splitIntoChunks(content);
        writeChunks(baseVersion + 1, operation, chunks);
        ConfigurationHead next = new ConfigurationHead(
                baseVersion + 1,
                operation,
                chunks.size(),
                sha256(content),
                time.currentTimeMillis(),
                author,
                earlierOperations(current));
        return switch (store.put(HEAD_KEY, codec.encode(next), expectUnchanged(current))) {
            case WriteOutcome.Applied applied -> {
                deleteExpiredVersion(next.version());
                yield new CommitOutcome.Committed(next);
            }
            case WriteOutcome.Conflict conflict -> resolveConflict(conflict, baseVersion, operation);
        };
    }

    /** Determines the outcome of a commit whose head write conflicted, from the head that the write found. */
    private CommitOutcome resolveConflict(WriteOutcome.Conflict conflict, long baseVersion, String operation)
            throws KvException {
        Optional<ConfigurationHead> head = Optional.empty();
        if (conflict.current().isPresent()) {
            head = Optional.of(decode(conflict.current().get()).head());
        }
        return resolveFromHead(head, baseVersion, operation).orElse(new CommitOutcome.Conflict(head));
    }

    /** Returns the outcome if the head decides it; empty if the commit may be attempted on this head. */
    private static Optional<CommitOutcome> resolveFromHead(
            Optional<ConfigurationHead> current, long baseVersion, String operation) {
        if (current.isPresent() && current.get().includes(operation)) {
            return Optional.of(new CommitOutcome.Committed(current.get()));
        }
        long version = current.map(ConfigurationHead::version).orElse(0L);
        return version == baseVersion ? Optional.empty() : Optional.of(new CommitOutcome.Conflict(current));
    }

    private static Expectation expectUnchanged(Optional<StoredHead> current) {
        return current.isPresent() ? Expectation.atRevision(current.get().revision()) : Expectation.absent();
    }

    private static List<String> earlierOperations(Optional<StoredHead> current) {
        if (current.isEmpty()) {
            return List.of();
        }
        List<String> operations = new ArrayList<>();
        operations.add(current.get().head().operation());
        operations.addAll(current.get().head().earlierOperations());
        return operations.subList(0, Math.min(MAX_EARLIER_OPERATIONS, operations.size()));
    }

    private void writeChunks(long version, String operation, List<byte[]> chunks) throws KvException {
        for (int chunk = 0; chunk < chunks.size(); chunk++) {
            // A conflict means that an earlier attempt of the same operation already wrote the same bytes.
            store.put(chunkKey(version, operation, chunk), chunks.get(chunk), Expectation.absent());
        }
    }

    /** Deletes the chunks of the version that is {@link #RETAINED_VERSIONS} older; failures are ignored. */
    private void deleteExpiredVersion(long version) {
        long expiredVersion = version - RETAINED_VERSIONS;
        if (expiredVersion <= 0) {
            return;
        }
        try {
            for (KvEntry entry : store.list(PREFIX + expiredVersion + "/").entries()) {
                store.delete(entry.key(), Expectation.atRevision(entry.revision()));
            }
        } catch (KvException e) {
            // Chunks that are left behind only take up space.
            return;
        }
    }

    private static List<byte[]> splitIntoChunks(byte[] content) {
        List<byte[]> chunks = new ArrayList<>();
        for (int from = 0; from < content.length; from += MAX_CHUNK_BYTES) {
            chunks.add(Arrays.copyOfRange(content, from, Math.min(content.length, from + MAX_CHUNK_BYTES)));
        }
        return chunks;
    }

    private static String chunkKey(long version, String operation, int chunk) {
        return PREFIX + version + "/" + operation + "/" + chunk;
    }

    private static String sha256(byte[] content) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must provide it", e);
        }
    }
}
