package io.persimmonstack.node.sending;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.persimmonstack.backends.http.HttpConnector;
import io.persimmonstack.backends.http.HttpConnectorOptions;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.fleet.RunnerNotice;
import io.persimmonstack.node.placing.ModelDemand;
import io.persimmonstack.node.placing.Placer;
import io.persimmonstack.node.placing.RetryBudget;
import io.persimmonstack.node.placing.RetryBudgetOptions;
import io.persimmonstack.node.prompts.PromptGuard;
import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.RefusedException;
import io.persimmonstack.node.streams.OriginDirectory;
import io.persimmonstack.router.request.Reply;
import io.persimmonstack.wire.PeerAddress;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** How often a request that is placed several times counts in the node's report to the leader. */
class DispatcherArrivalsTest {
    private static final Runner RUNNER = new Runner(
            "r1",
            1,
            "v1",
            "s",
            new PeerAddress("127.0.0.1", 1),
            "z",
            4,
            false,
            List.of(new HeldModel("m", 1, Set.of())),
            Set.of(),
            Set.of());
    private final FleetView fleet = FleetView.create();
    private final Placer placer = Placer.create(fleet, "z");
    private final AtomicInteger queued = new AtomicInteger();

    /** Returns an object whose methods fail, except those that ask whether something is so, which say no. */
    private static <T> T unused(Class<T> type) {
        return type.cast(
                Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (self, method, values) -> {
                    if (method.getReturnType() == boolean.class) {
                        return false;
                    }
                    throw new AssertionError(method + " called");
                }));
    }

    private Dispatcher dispatcher(HttpConnector connector) {
        return Dispatcher.of(
                fleet,
                placer,
                RetryBudget.of(new RetryBudgetOptions(1, 1, TimeUnit.MINUTES.toNanos(1))),
                connector,
                unused(RunnerProtocol.class),
                unused(OriginDirectory.class),
                unused(ProcessCheck.class),
                PromptGuard.create("n", 1, fleet));
    }

    /** Places the waiting request at a runner that says at once that it leaves; refuses it when it waits again. */
    private void placeOnceThenRefuse() {
        if (queued.incrementAndGet() == 1) {
            fleet.update(now -> now.withRunners(Map.of(RUNNER.id(), RUNNER), 1));
            fleet.recordNotice(RUNNER, RunnerNotice.of(true));
        } else {
            placer.refuseQueuedUnless(request -> false);
        }
    }

    /** Failure: a request counted again as arrived when its placement was withheld and it was placed again. */
    @Test
    void requestWhosePlacementIsWithheldHasArrivedOnce() {
        placer.onQueued(this::placeOnceThenRefuse);
        ActiveRequest request = Requests.forModel("m", System.nanoTime() + TimeUnit.MINUTES.toNanos(1));
        try (HttpConnector connector = HttpConnector.create(HttpConnectorOptions.defaults())) {
            RefusedException refused = assertThrows(
                    RefusedException.class,
                    () -> dispatcher(connector).serve(request, unused(Reply.class), SendTracker.create()));
            assertEquals("leaving", refused.refusal().reason());
        }
        assertEquals(2, queued.get(), "number of times that the request was queued");
        assertEquals(
                List.of(1),
                placer.drainLoad().demands().stream().map(ModelDemand::arrived).toList());
    }
}
