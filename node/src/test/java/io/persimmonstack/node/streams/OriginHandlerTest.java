package io.persimmonstack.node.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.junit.jupiter.api.Test;

class OriginHandlerTest {
    private static final String LONGEST = "x".repeat(OriginHandler.MAX_TEXT_LENGTH);
    private static final int MAX_MESSAGE_BYTES = 100;
    private long nowNanos;
    private final StreamOrigins local = StreamOrigins.create();
    private final OriginHandler handler = OriginHandler.of(local, () -> nowNanos);

    private static io.persimmonstack.wire.gen.StreamOrigin message(
            String request, String service, String version, long validMs) {
        return new io.persimmonstack.wire.gen.StreamOrigin(request, service, version, validMs);
    }

    @Test
    void keptCopyIsFoundWithTheRestOfItsValidity() {
        handler.keepOrigins(List.of(message("r", "chat", "v1", 5_000)));
        nowNanos = TimeUnit.MILLISECONDS.toNanos(2_000);
        assertEquals(List.of(message("r", "chat", "v1", 3_000)), handler.findOrigin("r"));
        assertEquals(List.of(), handler.findOrigin("other"));
    }

    @Test
    void textsAreBounded() {
        handler.keepOrigins(List.of(
                message(LONGEST, LONGEST, LONGEST, 5_000),
                message(LONGEST + "x", "chat", "v1", 5_000),
                message("service", LONGEST + "x", "v1", 5_000),
                message("version", "chat", LONGEST + "x", 5_000),
                message("", "chat", "v1", 5_000),
                message("no-service", "", "v1", 5_000),
                message("no-version", "chat", "", 5_000)));
        assertEquals(1, local.size());
        assertEquals(1, handler.findOrigin(LONGEST).size());
        assertEquals(List.of(), handler.findOrigin(LONGEST + "x"));
    }

    @Test
    void validityIsBounded() {
        handler.keepOrigins(List.of(message("r", "chat", "v1", Long.MAX_VALUE), message("past", "chat", "v1", -1)));
        assertEquals(
                StreamOrigins.MAX_VALID_MS, handler.findOrigin("r").getFirst().getValidMs());
        assertEquals(List.of(), handler.findOrigin("past"));
    }

    @Test
    void copiesOfOneCallAreBounded() {
        handler.keepOrigins(IntStream.range(0, OriginHandler.MAX_COPIES + 5)
                .mapToObj(i -> message("r" + i, "chat", "v1", 5_000))
                .toList());
        assertEquals(OriginHandler.MAX_COPIES, local.size());
    }

    @Test
    void copyTakesFewBytes() throws Exception {
        byte[] bytes = new TSerializer(new TCompactProtocol.Factory())
                .serialize(message("9c41d07be2a35f68", "sv-interactive", "v2026.12.4-1", 60_000));
        assertTrue(bytes.length <= MAX_MESSAGE_BYTES, "bytes: " + bytes.length);
    }
}
