package io.persimmonstack.coordination.grant;

import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.KvStore;
import java.util.List;
import java.util.Optional;

/**
 * Read-only access to the grant records of all models and runners, whoever owns them.
 *
 * <pre>{@code
 * for (SlotEntry entry : reader.model("summary").orElse(ModelRecord.empty("summary")).entries()) {
 *     ask(reader.runner(entry.runner()).map(RunnerRecord::owner));
 * }
 * }</pre>
 */
public final class GrantReader {
    private final RecordStore<ModelRecord> models;
    private final RecordStore<RunnerRecord> runners;

    private GrantReader(RecordStore<ModelRecord> models, RecordStore<RunnerRecord> runners) {
        this.models = models;
        this.runners = runners;
    }

    /**
     * Returns a reader of the records in the given service.
     *
     * @param store key-value service
     * @param codecs codecs of the records
     * @return the reader
     */
    public static GrantReader of(KvStore store, GrantCodecs codecs) {
        return new GrantReader(new RecordStore<>(store, codecs.models()), new RecordStore<>(store, codecs.runners()));
    }

    /**
     * Reads the slots of a model.
     *
     * @param model name of the model
     * @return the record, or empty if no slot was ever granted
     * @throws KvException if the service did not answer
     */
    public Optional<ModelRecord> model(String model) throws KvException {
        return models.read(GrantKeys.model(model)).map(RecordStore.Stored::value);
    }

    /**
     * Reads the slots of all models in one call.
     *
     * @return the records
     * @throws KvException if the service did not answer
     */
    public List<ModelRecord> models() throws KvException {
        return models.readAll(GrantKeys.MODEL_PREFIX).stream()
                .map(RecordStore.Stored::value)
                .toList();
    }

    /**
     * Reads the owner and the slots of a runner.
     *
     * @param runner name of the runner
     * @return the record, or empty if the runner was never owned
     * @throws KvException if the service did not answer
     */
    public Optional<RunnerRecord> runner(String runner) throws KvException {
        return runners.read(GrantKeys.runner(runner)).map(RecordStore.Stored::value);
    }
}
