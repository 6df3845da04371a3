package io.persimmonstack.wire.codec;

import io.persimmonstack.coordination.grant.ModelRecord;
import io.persimmonstack.coordination.grant.ReplicaCap;
import io.persimmonstack.coordination.grant.SlotEntry;
import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.coordination.kv.RecordCodec;

/** Codec of model records, which hold the slots and replica cap of a model. */
public final class ModelRecordCodec implements RecordCodec<ModelRecord> {
    private ModelRecordCodec() {}

    /** Returns the codec. */
    public static ModelRecordCodec create() {
        return new ModelRecordCodec();
    }

    @Override
    public byte[] encode(ModelRecord value) {
        return ThriftBytes.encode(new io.persimmonstack.wire.gen.ModelRecord(
                value.model(),
                value.entries().stream().map(ModelRecordCodec::toWire).toList(),
                value.cap().replicas(),
                value.cap().configurationVersion()));
    }

    @Override
    public ModelRecord decode(byte[] bytes) throws KvCorruptException {
        io.persimmonstack.wire.gen.ModelRecord struct =
                ThriftBytes.decode(bytes, new io.persimmonstack.wire.gen.ModelRecord());
        return new ModelRecord(
                struct.getModel(),
                ReplicaCap.of(struct.getCap(), struct.getConfigurationVersion()),
                struct.getEntries().stream().map(ModelRecordCodec::fromWire).toList());
    }

    private static io.persimmonstack.wire.gen.SlotEntry toWire(SlotEntry entry) {
        return new io.persimmonstack.wire.gen.SlotEntry(entry.runner(), entry.version(), entry.epoch());
    }

    private static SlotEntry fromWire(io.persimmonstack.wire.gen.SlotEntry struct) {
        return new SlotEntry(struct.getRunner(), struct.getVersion(), struct.getEpoch());
    }
}
