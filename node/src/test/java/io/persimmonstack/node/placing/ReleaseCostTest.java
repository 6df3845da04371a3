package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.wire.PeerAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a release that costs more the more requests wait; operations are counted, not timed. */
class ReleaseCostTest {
    private static final int RUNNERS = 50;
    private final FleetView fleet = FleetView.create();
    private final Placer placer = Placer.create(fleet, "z");
    private final long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());

    /** Lists runners with one place each; each holds a model of its own. */
    private void listRunners() {
        Map<String, Runner> runners = new HashMap<>();
        for (int i = 0; i < RUNNERS; i++) {
            List<HeldModel> models = List.of(new HeldModel("m" + i, 1, Set.of()));
            PeerAddress address = new PeerAddress("127.0.0.1", 1);
            runners.put("e" + i, new Runner("e" + i, 1, "v", "s", address, "z", 1, false, models, Set.of(), Set.of()));
        }
        fleet.update(now -> now.withRunners(runners, 1));
    }

    private QueuedRequest submit(String model) {
        QueuedRequest template = QueuedRequests.received(nowMs).forModel(model).build();
        QueuedRequest queued = queued(template.request());
        placer.submit(queued);
        return queued;
    }

    private QueuedRequest queued(ActiveRequest request) {
        return new QueuedRequest(request, RunnerFilter.any(), request.deadlineNanos());
    }

    /** Returns the operations of a release of the only place of model 0 that a number of requests wait for. */
    private long releaseOperations(String waitingModel, int waiting) {
        listRunners();
        QueuedRequest running = submit("m0");
        QueuedRequest otherRunning = submit(waitingModel.equals("m0") ? "m1" : waitingModel);
        QueuedRequest first = submit("m0");
        for (int i = 0; i < waiting; i++) {
            submit(waitingModel);
        }
        assertEquals(waiting + 1, placer.queuedCount());
        long before = placer.waiting().operations();
        running.placement().orElseThrow().close();
        assertTrue(first.placement().isPresent());
        assertTrue(otherRunning.placement().isPresent());
        assertEquals(waiting, placer.queuedCount());
        return placer.waiting().operations() - before;
    }

    @Test
    void requestsForOtherModelsCostNothing() {
        assertEquals(new ReleaseCostTest().releaseOperations("m1", 10), releaseOperations("m1", 5_000));
    }

    @Test
    void requestsThatWaitBehindTheOneServedCostNothing() {
        assertEquals(new ReleaseCostTest().releaseOperations("m0", 10), releaseOperations("m0", 5_000));
        assertTrue(new ReleaseCostTest().releaseOperations("m0", 10) < 10);
    }
}
