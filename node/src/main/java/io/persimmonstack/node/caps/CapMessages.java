package io.persimmonstack.node.caps;

import io.persimmonstack.coordination.cap.HeldSlots;
import io.persimmonstack.coordination.cap.SlotAssigner;
import io.persimmonstack.coordination.cap.SlotHolder;
import io.persimmonstack.coordination.cap.SlotTable;
import io.persimmonstack.coordination.cap.TokenBatch;
import io.persimmonstack.coordination.cap.TokenTaker;
import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.wire.codec.ThriftBytes;
import io.persimmonstack.wire.gen.CapSlot;
import io.persimmonstack.wire.gen.CapSlotTable;
import io.persimmonstack.wire.gen.NodeLoad;
import io.persimmonstack.wire.gen.TokenGrant;
import io.persimmonstack.wire.gen.TokenRequest;
import io.persimmonstack.wire.gen.TokenReturn;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Converts between the types of usage caps and the Thrift messages. */
final class CapMessages {
    private static final long UNKNOWN_MS = -1;

    private CapMessages() {}

    static byte[] encode(SlotTable table) {
        return ThriftBytes.encode(toMessage(table));
    }

    static SlotTable decode(byte[] value) throws KvCorruptException {
        return fromMessage(ThriftBytes.decode(value, new CapSlotTable()));
    }

    static CapSlotTable toMessage(SlotTable table) {
        return new CapSlotTable(table.term(), toMessages(table.holders()), table.number());
    }

    static SlotTable fromMessage(CapSlotTable message) {
        return new SlotTable(message.getTerm(), message.getNumber(), fromMessages(message.getSlots()));
    }

    static List<CapSlot> toMessages(Map<Integer, SlotHolder> holders) {
        return holders.entrySet().stream()
                .map(entry -> new CapSlot(
                        entry.getKey(),
                        entry.getValue().node(),
                        entry.getValue().startedMs(),
                        entry.getValue().assignedTerm(),
                        entry.getValue().assignedNumber()))
                .toList();
    }

    static Map<Integer, SlotHolder> fromMessages(List<CapSlot> messages) {
        Map<Integer, SlotHolder> holders = new HashMap<>();
        if (messages != null) {
            messages.forEach(slot -> holders.put(
                    slot.getSlot(),
                    new SlotHolder(
                            slot.getNode(), slot.getStartedMs(), slot.getAssignedTerm(), slot.getAssignedNumber())));
        }
        return holders;
    }

    /** Returns the part of a load report that is about slots. */
    static SlotAssigner.Report report(NodeLoad load) {
        return new SlotAssigner.Report(
                load.getNode(),
                load.getStartedMs(),
                fromMessages(load.getHeldSlots()),
                fromMessages(load.getReleasedSlots()),
                load.isTakesNoSlots());
    }

    static TokenRequest toMessage(SlotHolder holder, TokenTaker.Question question, long configurationVersion) {
        TokenRequest request =
                new TokenRequest(question.workspace(), question.need(), question.ahead(), configurationVersion);
        if (!question.returns().isEmpty()) {
            request.setHolderStartedMs(holder.startedMs());
            request.setReturns(question.returns().stream()
                    .map(batch -> new TokenReturn(batch.slot(), batch.stamp(), batch.tokens()))
                    .toList());
        }
        return request;
    }

    static TokenGrant toMessage(HeldSlots.Answer answer, long validMs) {
        return switch (answer) {
            case HeldSlots.Answer.Granted granted -> {
                TokenBatch batch = granted.batch();
                TokenGrant message = new TokenGrant(batch.tokens(), validMs, 0);
                message.setSlot(batch.slot());
                message.setStamp(batch.stamp());
                yield message;
            }
            case HeldSlots.Answer.Exhausted exhausted -> new TokenGrant(0, 0, exhausted.retryMs());
            case HeldSlots.Answer.NotHeld notHeld -> new TokenGrant(0, 0, UNKNOWN_MS);
        };
    }

    /** Returns an answer of a holder; a grant is told from a refusal by its stamp. */
    static HeldSlots.Answer fromMessage(SlotHolder holder, TokenGrant message) {
        if (message.isSetStamp()) {
            return new HeldSlots.Answer.Granted(
                    new TokenBatch(holder, message.getSlot(), message.getStamp(), message.getGranted()));
        }
        return message.getRetryAfterMs() < 0
                ? new HeldSlots.Answer.NotHeld()
                : new HeldSlots.Answer.Exhausted(message.getRetryAfterMs());
    }
}
