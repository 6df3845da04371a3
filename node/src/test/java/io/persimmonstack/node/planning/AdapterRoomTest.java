package io.persimmonstack.node.planning;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Model;
import io.persimmonstack.node.fleet.FleetView;
import io.persimmonstack.node.fleet.HeldModel;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.node.placing.ModelDemand;
import io.persimmonstack.node.planning.SimulatedRunners.OrderFault;
import io.persimmonstack.node.request.ModelRef;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A runner must never be ordered to load more adapters than it has slots for, whatever happens to its orders.
 *
 * <p>More seeds by hand: {@code -Dsurefire.arguments="-Droom.seeds=50 -Droom.seconds=4"}.
 */
class AdapterRoomTest {
    private static final int SLOTS = 2;
    private static final Engine ENGINE =
            new Engine(4, 1_000, 100, SLOTS, 3, Map.of("a", new Model("a", 10, 5, 1, 1, 1)));
    private static final int REQUEST_MS = 500;

    private final NodeReports reports = NodeReports.create();
    private final AtomicLong term = new AtomicLong(41);
    private final ExecutorService threads = Executors.newVirtualThreadPerTaskExecutor();

    private static FleetView fleet(int runners) {
        List<HeldModel> models = List.of(new HeldModel("a", 1, Set.of("x", "y")));
        return PlannerFixture.fleet(
                ENGINE,
                IntStream.range(0, runners)
                        .mapToObj(i -> new Runner(
                                "r" + i,
                                1,
                                "v1",
                                "s",
                                PlannerFixture.ADDRESS,
                                "z",
                                4,
                                false,
                                models,
                                Set.of(),
                                Set.of("a")))
                        .toList());
    }

    private static ModelDemand demand(String adapter, int waiting, int arrived) {
        return new ModelDemand("s", new ModelRef("a", adapter), waiting, arrived, 100, 3_000);
    }

    private void report(List<ModelDemand> demands) {
        reports.update("n1", List.of(), demands, System.nanoTime());
    }

    private Planner startPlanner(int runners, SimulatedRunners control) {
        return PlannerFixture.start(fleet(runners), reports, () -> OptionalLong.of(term.get()), 0, control, threads);
    }

    /** Reports demand until a condition holds; returns false if it does not within 10 seconds. */
    private boolean reportUntil(BooleanSupplier condition, ModelDemand... demands) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
        while (!condition.getAsBoolean() && System.nanoTime() < endNanos) {
            report(List.of(demands));
            TimeUnit.MILLISECONDS.sleep(5);
        }
        return condition.getAsBoolean();
    }

    private static long loads(SimulatedRunners runners) {
        return runners.executedOrders().stream()
                .filter(PlacementOrder.LoadAdapter.class::isInstance)
                .count();
    }

    /** Runner overfilled: an adapter was unloaded for two loads, since its first unload was not answered yet. */
    @Test
    void slotThatOneUnloadFreesIsFilledOnce() throws InterruptedException {
        AtomicInteger orders = new AtomicInteger();
        SimulatedRunners control = new SimulatedRunners(
                SLOTS,
                true,
                (runner, order) -> orders.getAndIncrement() == 0 ? new OrderFault(150, true) : OrderFault.NONE,
                threads);
        control.add("r0", "x", "y");
        control.useAtFirstOrder("r0", "x", REQUEST_MS);
        try (threads;
                Planner planner = startPlanner(1, control)) {
            assertTrue(planner.arrivals().isEmpty());
            assertTrue(reportUntil(
                    () -> loads(control) >= 2,
                    demand("x", 0, 0),
                    demand("y", 0, 9),
                    demand("z1", 1, 1),
                    demand("z2", 1, 1)));
            assertEquals(List.of(), control.overloads());
        }
    }

    /** Runner overfilled: an adapter was loaded before the unload that made room for it had taken effect. */
    @Test
    void loadWaitsUntilUnloadHasTakenEffect() throws InterruptedException {
        SimulatedRunners control = new SimulatedRunners(SLOTS, false, (runner, order) -> OrderFault.NONE, threads);
        control.add("r0", "x", "y");
        control.useAtFirstOrder("r0", "x", REQUEST_MS);
        try (threads;
                Planner planner = startPlanner(1, control)) {
            assertTrue(planner.arrivals().isEmpty());
            assertTrue(
                    reportUntil(() -> loads(control) >= 1, demand("x", 0, 0), demand("y", 0, 9), demand("z1", 1, 1)));
            assertEquals(List.of(), control.overloads());
        }
    }

    private static LongStream seeds() {
        return LongStream.rangeClosed(1, Long.getLong("room.seeds", 3));
    }

    /** Runner overfilled: orders of several terms were slow, late or unanswered while adapters stayed in use. */
    @ParameterizedTest
    @MethodSource("seeds")
    void faultyOrdersNeverOverfillARunner(long seed) throws InterruptedException {
        int runners = 12;
        Random random = new Random(seed);
        SimulatedRunners control = new SimulatedRunners(SLOTS, true, (runner, order) -> fault(random), threads);
        for (int i = 0; i < runners; i++) {
            control.add("r" + i, "x", "y");
        }
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(Integer.getInteger("room.seconds", 4));
        try (threads;
                Planner planner = startPlanner(runners, control)) {
            assertTrue(planner.arrivals().isEmpty());
            while (System.nanoTime() < endNanos) {
                changeDemand(random);
                control.use("r" + random.nextInt(runners), "d" + random.nextInt(30), random.nextInt(800));
                if (random.nextInt(40) == 0) {
                    term.incrementAndGet();
                }
                TimeUnit.MILLISECONDS.sleep(20);
            }
            assertEquals(List.of(), control.overloads());
            assertTrue(loads(control) > runners);
        }
    }

    private static synchronized OrderFault fault(Random random) {
        int kind = random.nextInt(10);
        if (kind < 2) {
            return new OrderFault(random.nextInt(1_500), false);
        }
        return kind < 6 ? new OrderFault(random.nextInt(150), true) : OrderFault.NONE;
    }

    private void changeDemand(Random random) {
        List<ModelDemand> demands = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            demands.add(demand("d" + random.nextInt(30), 1, random.nextInt(5)));
        }
        report(demands);
    }
}
