package io.persimmonstack.router.claim;

import io.persimmonstack.coordination.claim.Claim;
import io.persimmonstack.coordination.claim.ClaimLogEntry;
import io.persimmonstack.coordination.claim.ClaimOutcome;
import io.persimmonstack.coordination.claim.ClaimResult;
import io.persimmonstack.wire.codec.ClaimSegmentCodec;
import io.persimmonstack.wire.gen.ClaimAnswer;
import io.persimmonstack.wire.gen.ClaimRecord;

/** Converts claims, outcomes and claim results to and from their Thrift messages. */
final class ClaimWireCodec {
    private ClaimWireCodec() {}

    static ClaimRecord toWire(Claim claim) {
        return ClaimSegmentCodec.toWire(ClaimLogEntry.claimed(claim));
    }

    static ClaimRecord toWire(Claim claim, ClaimOutcome outcome) {
        return ClaimSegmentCodec.toWire(ClaimLogEntry.settled(claim, outcome));
    }

    /** Returns the claim in a record. */
    static Claim claimFromWire(ClaimRecord wire) {
        return ClaimSegmentCodec.fromWire(wire).claim();
    }

    /** Returns the outcome in a record; throws {@link java.util.NoSuchElementException} if it has none. */
    static ClaimOutcome outcomeFromWire(ClaimRecord wire) {
        return ClaimSegmentCodec.fromWire(wire).outcome().orElseThrow();
    }

    static ClaimAnswer toWire(ClaimResult result) {
        return switch (result) {
            case ClaimResult.Claimed claimed ->
                answerWithRecord(io.persimmonstack.wire.gen.ClaimResult.CLAIMED, toWire(claimed.claim()));
            case ClaimResult.AlreadyClaimed alreadyClaimed ->
                answerWithRecord(
                        io.persimmonstack.wire.gen.ClaimResult.ALREADY_CLAIMED, toWire(alreadyClaimed.existing()));
            case ClaimResult.AlreadyDone alreadyDone ->
                answerWithRecord(
                        io.persimmonstack.wire.gen.ClaimResult.ALREADY_DONE,
                        toWire(alreadyDone.existing(), alreadyDone.outcome()));
            case ClaimResult.FingerprintDiffers differs ->
                answerWithRecord(
                        io.persimmonstack.wire.gen.ClaimResult.FINGERPRINT_DIFFERS, toWire(differs.existing()));
            case ClaimResult.NotClaimed notClaimed ->
                new ClaimAnswer(io.persimmonstack.wire.gen.ClaimResult.NOT_CLAIMED).setReason(notClaimed.reason());
            case ClaimResult.Unsettled unsettled ->
                new ClaimAnswer(io.persimmonstack.wire.gen.ClaimResult.UNSETTLED).setReason(unsettled.reason());
        };
    }

    private static ClaimAnswer answerWithRecord(io.persimmonstack.wire.gen.ClaimResult result, ClaimRecord record) {
        return new ClaimAnswer(result).setRecord(record);
    }

    /**
     * Converts the answer of another router.
     *
     * @param answer answer of the router
     * @param requested claim that it answers
     * @return the result
     */
    static ClaimResult fromWire(ClaimAnswer answer, Claim requested) {
        return switch (answer.getResult()) {
            case CLAIMED -> new ClaimResult.Claimed(requested);
            case ALREADY_CLAIMED -> new ClaimResult.AlreadyClaimed(claimFromWire(answer.getRecord()));
            case ALREADY_DONE ->
                new ClaimResult.AlreadyDone(claimFromWire(answer.getRecord()), outcomeFromWire(answer.getRecord()));
            case FINGERPRINT_DIFFERS -> new ClaimResult.FingerprintDiffers(claimFromWire(answer.getRecord()));
            case NOT_CLAIMED -> new ClaimResult.NotClaimed(reasonOf(answer));
            case UNSETTLED -> new ClaimResult.Unsettled(reasonOf(answer));
        };
    }

    private static String reasonOf(ClaimAnswer answer) {
        return answer.isSetReason() ? answer.getReason() : "no reason given";
    }
}
