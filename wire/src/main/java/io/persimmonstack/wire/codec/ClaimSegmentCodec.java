package io.persimmonstack.wire.codec;

import io.persimmonstack.coordination.claim.Claim;
import io.persimmonstack.coordination.claim.ClaimLogEntry;
import io.persimmonstack.coordination.claim.ClaimOutcome;
import io.persimmonstack.coordination.claim.ClaimSegment;
import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.coordination.kv.RecordCodec;
import io.persimmonstack.wire.gen.ClaimRecord;
import java.util.Optional;

/** Codec of claim log segments in the key-value service, and of single log entries in calls between routers. */
public final class ClaimSegmentCodec implements RecordCodec<ClaimSegment> {
    private ClaimSegmentCodec() {}

    /** Returns the codec. */
    public static ClaimSegmentCodec create() {
        return new ClaimSegmentCodec();
    }

    @Override
    public byte[] encode(ClaimSegment value) {
        return ThriftBytes.encode(new io.persimmonstack.wire.gen.ClaimSegment(
                value.shard(),
                value.number(),
                value.writer(),
                value.batch(),
                value.entries().stream().map(ClaimSegmentCodec::toWire).toList()));
    }

    @Override
    public ClaimSegment decode(byte[] bytes) throws KvCorruptException {
        io.persimmonstack.wire.gen.ClaimSegment struct =
                ThriftBytes.decode(bytes, new io.persimmonstack.wire.gen.ClaimSegment());
        return new ClaimSegment(
                struct.getShard(),
                struct.getNumber(),
                struct.getWriter(),
                struct.getBatch(),
                struct.getRecords().stream().map(ClaimSegmentCodec::fromWire).toList());
    }

    /** Returns the Thrift struct of a claim log entry. */
    public static ClaimRecord toWire(ClaimLogEntry entry) {
        Claim claim = entry.claim();
        ClaimRecord struct = new ClaimRecord(claim.key(), claim.claimant(), claim.fingerprint(), claim.timeMs());
        entry.outcome().ifPresent(outcome -> {
            struct.setStatus(outcome.status());
            struct.setContentType(outcome.contentType());
            outcome.body().ifPresentOrElse(struct::setBody, () -> struct.setBodyOmitted(true));
        });
        return struct;
    }

    /** Returns the claim log entry of a Thrift struct. An entry without status is an unsettled claim. */
    public static ClaimLogEntry fromWire(ClaimRecord struct) {
        Claim claim = Claim.of(struct.getKey(), struct.getClaimant(), struct.getFingerprint(), struct.getTimeMs());
        if (!struct.isSetStatus()) {
            return ClaimLogEntry.claimed(claim);
        }
        Optional<byte[]> body = struct.isSetBody() ? Optional.of(struct.getBody()) : Optional.empty();
        String contentType = struct.isSetContentType() ? struct.getContentType() : "";
        return ClaimLogEntry.settled(claim, new ClaimOutcome(struct.getStatus(), contentType, body));
    }
}
