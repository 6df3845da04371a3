package io.persimmonstack.wire.codec;

import io.persimmonstack.coordination.grant.NodeIdentity;
import io.persimmonstack.coordination.grant.RunnerRecord;
import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.coordination.kv.RecordCodec;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.stream.Collectors;

/** Codec of runner records, which hold the owner, epoch and slots of a runner. */
public final class RunnerRecordCodec implements RecordCodec<RunnerRecord> {
    private RunnerRecordCodec() {}

    /** Returns the codec. */
    public static RunnerRecordCodec create() {
        return new RunnerRecordCodec();
    }

    @Override
    public byte[] encode(RunnerRecord value) {
        return ThriftBytes.encode(new io.persimmonstack.wire.gen.RunnerRecord(
                value.runner(),
                value.owner().node(),
                value.owner().incarnation(),
                value.epoch(),
                value.sortedSlots().stream().map(ModelVersion::toString).toList(),
                value.handingOver()));
    }

    @Override
    public RunnerRecord decode(byte[] bytes) throws KvCorruptException {
        io.persimmonstack.wire.gen.RunnerRecord struct =
                ThriftBytes.decode(bytes, new io.persimmonstack.wire.gen.RunnerRecord());
        return new RunnerRecord(
                struct.getRunner(),
                NodeIdentity.of(struct.getOwnerNode(), struct.getOwnerIncarnation()),
                struct.getEpoch(),
                struct.getSlots().stream().map(ModelVersion::parse).collect(Collectors.toSet()),
                struct.isHandingOver());
    }
}
