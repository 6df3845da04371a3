package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against a notice of one runner that costs a search through all runners for each waiting request. */
class QuietCheckTest {
    private int searches;

    @Test
    void runnersAreSearchedOnceForRequestsThatTheSameOnesServe() {
        QuietCheck check = new QuietCheck(
                queued -> {
                    searches++;
                    return OptionalLong.empty();
                },
                0);
        IntStream.range(0, 5_000).forEach(i -> {
            check.refuseIfTooLong(
                    QueuedRequests.received(i).forModel("m" + i % 3).build());
            check.refuseIfTooLong(
                    QueuedRequests.received(i).forModel("m0").without("e1").build());
        });
        assertEquals(4, searches);
    }

    @Test
    void eachRequestHasItsOwnDeadline() {
        QueuedRequest ends = QueuedRequests.received(0).build();
        QueuedRequest waits = QueuedRequests.received(10).build();
        long betweenNanos = ends.deadlineNanos() + TimeUnit.MILLISECONDS.toNanos(5);
        QuietCheck check = new QuietCheck(queued -> OptionalLong.of(betweenNanos), 0);
        check.refuseIfTooLong(ends);
        check.refuseIfTooLong(waits);
        assertEquals("runners-quiet", ends.refusal().orElseThrow().refusal().reason());
        assertEquals(false, waits.result().isDone());
    }
}
