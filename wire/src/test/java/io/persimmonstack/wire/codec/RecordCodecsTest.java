package io.persimmonstack.wire.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.persimmonstack.coordination.claim.Claim;
import io.persimmonstack.coordination.claim.ClaimLogEntry;
import io.persimmonstack.coordination.claim.ClaimOutcome;
import io.persimmonstack.coordination.claim.ClaimSegment;
import io.persimmonstack.coordination.grant.ModelRecord;
import io.persimmonstack.coordination.grant.NodeIdentity;
import io.persimmonstack.coordination.grant.ReplicaCap;
import io.persimmonstack.coordination.grant.RunnerRecord;
import io.persimmonstack.coordination.grant.SlotEntry;
import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.kv.RecordCodec;
import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

class RecordCodecsTest {
    private static final Claim CLAIM = Claim.of("desk/1", "router-1#2/7", "ab12", 5);

    @Test
    void decodingRestoresEncodedRecords() throws KvException {
        assertRoundTrip(
                ModelRecordCodec.create(),
                new ModelRecord("summary", ReplicaCap.of(2, 9), List.of(new SlotEntry("runner-1", "v1", 3))));
        assertRoundTrip(
                RunnerRecordCodec.create(),
                new RunnerRecord(
                        "runner-1", NodeIdentity.of("node-1", 4), 3, Set.of(ModelVersion.of("summary", "v1")), true));
        assertRoundTrip(
                ClaimSegmentCodec.create(),
                new ClaimSegment(
                        2,
                        17,
                        "router-1#2",
                        "batch-1",
                        List.of(
                                ClaimLogEntry.claimed(CLAIM),
                                ClaimLogEntry.settled(CLAIM, ClaimOutcome.of(200, "text/plain", new byte[] {1, 2})),
                                ClaimLogEntry.settled(CLAIM, new ClaimOutcome(201, "", Optional.empty())))));
    }

    @Test
    void malformedBytesAreRejected() {
        byte[] malformed = {9, 9, 9, 9};
        assertThrows(KvCorruptException.class, () -> ModelRecordCodec.create().decode(malformed));
        assertThrows(KvCorruptException.class, () -> RunnerRecordCodec.create().decode(malformed));
        assertThrows(KvCorruptException.class, () -> ClaimSegmentCodec.create().decode(malformed));
    }

    private static <T> void assertRoundTrip(RecordCodec<T> codec, T value) throws KvException {
        assertEquals(value, codec.decode(codec.encode(value)));
    }
}
