package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.kv.Expectation;
import io.persimmonstack.coordination.kv.KvAmbiguousException;
import io.persimmonstack.coordination.kv.KvEntry;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import io.persimmonstack.coordination.kv.KvUnavailableException;
import io.persimmonstack.coordination.kv.RecordCodec;
import io.persimmonstack.coordination.kv.WriteOutcome;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Reads and conditionally writes records of one type in the key-value service. A write whose reply was lost is repeated
 * with the same condition, which shows whether it took effect.
 *
 * @param <T> record type
 */
final class RecordStore<T> {
    private static final int WRITE_ATTEMPTS = 3;

    /** Record with the revision of its key when it was read or written. */
    record Stored<T>(T value, long revision) {}

    /** Outcome of a conditional write. */
    sealed interface Outcome<T> {
        /** The record has been written. */
        record Written<T>(Stored<T> stored) implements Outcome<T> {}

        /** The key did not have the expected revision; the write had no effect and never will have one. */
        record Conflict<T>(Optional<Stored<T>> current) implements Outcome<T> {}
    }

    private final KvStore store;
    private final RecordCodec<T> codec;

    RecordStore(KvStore store, RecordCodec<T> codec) {
        this.store = store;
        this.codec = codec;
    }

    Optional<Stored<T>> read(String key) throws KvException {
        Optional<KvEntry> entry = store.get(key);
        return entry.isEmpty() ? Optional.empty() : Optional.of(decode(entry.get()));
    }

    List<Stored<T>> readAll(String prefix) throws KvException {
        List<Stored<T>> result = new ArrayList<>();
        for (KvEntry entry : store.list(prefix).entries()) {
            result.add(decode(entry));
        }
        return result;
    }

    /**
     * Writes a record if the key still has the expected revision, or does not exist if {@code expected} is empty.
     *
     * @throws KvAmbiguousException if the write may still take effect
     * @throws KvUnavailableException if the write had no effect and never will have one
     */
    Outcome<T> write(String key, T value, Optional<Stored<T>> expected) throws KvException {
        Expectation expectation = expected.map(stored -> Expectation.atRevision(stored.revision()))
                .orElseGet(Expectation::absent);
        byte[] bytes = codec.encode(value);
        Optional<KvAmbiguousException> ambiguous = Optional.empty();
        for (int attempt = 0; attempt < WRITE_ATTEMPTS; attempt++) {
            try {
                return toOutcome(value, store.put(key, bytes, expectation));
            } catch (KvAmbiguousException e) {
                ambiguous = Optional.of(e);
            } catch (KvUnavailableException e) {
                throw ambiguous.isPresent() ? ambiguous.get() : e;
            }
        }
        throw ambiguous.orElseThrow();
    }

    private Outcome<T> toOutcome(T value, WriteOutcome response) throws KvException {
        return switch (response) {
            case WriteOutcome.Applied applied -> new Outcome.Written<>(new Stored<>(value, applied.revision()));
            case WriteOutcome.Conflict conflict -> resolveConflict(value, conflict.current());
        };
    }

    /** Treats an equal record at a later revision as written, since it is this write or has the same effect. */
    private Outcome<T> resolveConflict(T value, Optional<KvEntry> current) throws KvException {
        if (current.isEmpty()) {
            return new Outcome.Conflict<>(Optional.empty());
        }
        Stored<T> found = decode(current.get());
        return found.value().equals(value) ? new Outcome.Written<>(found) : new Outcome.Conflict<>(Optional.of(found));
    }

    private Stored<T> decode(KvEntry entry) throws KvException {
        return new Stored<>(codec.decode(entry.value()), entry.revision());
    }
}
