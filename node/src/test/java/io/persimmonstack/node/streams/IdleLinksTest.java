package io.persimmonstack.node.streams;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class IdleLinksTest {
    private static final PeerAddress A = new PeerAddress("127.0.0.1", 1);
    private static final PeerAddress B = new PeerAddress("127.0.0.1", 2);
    private final IdleLinks links = IdleLinks.create();

    @Test
    void nodeThatIsNotCalledBecomesIdleOnce() {
        links.recordCall(A, 0);
        links.recordCall(B, 1);
        assertEquals(List.of(), links.takeIdle(IdleLinks.IDLE_NANOS - 1));
        assertEquals(List.of(A), links.takeIdle(IdleLinks.IDLE_NANOS));
        assertEquals(List.of(B), links.takeIdle(IdleLinks.IDLE_NANOS + 1));
        assertEquals(List.of(), links.takeIdle(IdleLinks.IDLE_NANOS * 9));
    }

    @Test
    void nodeThatIsCalledAgainIsNotIdle() {
        links.recordCall(A, 0);
        links.recordCall(A, IdleLinks.IDLE_NANOS - 1);
        assertEquals(List.of(), links.takeIdle(IdleLinks.IDLE_NANOS));
    }
}
