package io.persimmonstack.node.placing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.request.ModelRef;
import io.persimmonstack.node.request.Refusal;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.sending.Requests;
import io.persimmonstack.wire.PeerAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Pattern: the rest of a stream waits for a model that only a runner of another software version holds. The leader must
 * hear of the version, and only what it says of this version may refuse the request.
 */
class VersionWaitTest {
    private static final long TOO_LATE_MS = TimeUnit.MINUTES.toMillis(2);
    private static final Optional<String> OLD = Optional.of("old");
    private final FleetView fleet = FleetView.create();
    private final Placer placer = Placer.create(fleet, "z");
    private final AtomicReference<Exception> outcome = new AtomicReference<>();
    private Thread requestThread;

    private static Runner runner(String id, String softwareVersion, List<HeldModel> models) {
        PeerAddress address = new PeerAddress("127.0.0.1", 1);
        return new Runner(id, 1, softwareVersion, "s", address, "z", 4, false, models, Set.of(), Set.of());
    }

    @BeforeEach
    void startWaiting() throws InterruptedException {
        Map<String, Runner> runners = Map.of(
                "r1", runner("r1", "old", List.of()),
                "r2", runner("r2", "new", List.of(new HeldModel("m", 1, Set.of()))));
        fleet.update(now -> now.withRunners(runners, 1));
        long nowNanos = System.nanoTime();
        RunnerFilter oldOnly = new RunnerFilter(Set.of(), OLD);
        requestThread = Thread.ofVirtual().start(() -> {
            try {
                placer.place(Requests.forModel("m", nowNanos), oldOnly, nowNanos + TimeUnit.MINUTES.toNanos(1));
            } catch (RefusedException | InterruptedException e) {
                outcome.set(e);
            }
        });
        while (placer.queuedCount() == 0) {
            Thread.sleep(1);
        }
    }

    @AfterEach
    void stopWaiting() throws InterruptedException {
        requestThread.interrupt();
        requestThread.join();
    }

    private ModelDemand waitingDemand() {
        return placer.drainLoad().demands().stream()
                .filter(demand -> demand.waiting() > 0)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void demandNamesTheVersion() {
        ModelDemand demand = waitingDemand();
        assertEquals(new ModelRef("m", ""), demand.model());
        assertEquals(OLD, demand.softwareVersion());
    }

    @Test
    void estimateForAnyVersionDoesNotRefuse() {
        placer.applyModelArrivals(List.of(
                new ModelArrival("s", "m", TOO_LATE_MS), new ModelArrival("s", "m", TOO_LATE_MS, Optional.of("new"))));
        assertEquals(1, placer.queuedCount());
    }

    @Test
    void modelThatComesTooLateAtTheVersionRefusesAtOnceAndStaysInDemand() throws InterruptedException {
        placer.applyModelArrivals(List.of(new ModelArrival("s", "m", TOO_LATE_MS, OLD)));
        requestThread.join();
        Refusal refusal =
                assertInstanceOf(RefusedException.class, outcome.get()).refusal();
        assertEquals("model-not-loaded", refusal.reason());
        assertEquals(OLD, waitingDemand().softwareVersion());
    }
}
