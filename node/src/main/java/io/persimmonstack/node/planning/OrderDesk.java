package io.persimmonstack.node.planning;

import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.node.config.Engine;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Gives the orders of one directive to its runner, one after the other, and waits until they are carried out. */
final class OrderDesk {
    private static final EventLog LOG = EventLog.of(OrderDesk.class);
    private static final int ADAPTER_MS = 10;
    private static final int RETRY_MS = 80;
    private static final int MARGIN_MS = 15;
    private static final int POLL_MS = 50;
    private static final long UNLOAD_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(8);
    private static final long LOAD_LIMIT_NANOS = TimeUnit.SECONDS.toNanos(40);
    private final String node;
    private final RunnerControl control;
    private final NodeMetrics metrics;
    private final Consumer<String> onFenced;

    private OrderDesk(String node, RunnerControl control, NodeMetrics metrics, Consumer<String> onFenced) {
        this.node = node;
        this.control = control;
        this.metrics = metrics;
        this.onFenced = onFenced;
    }

    /**
     * Returns a desk.
     *
     * @param node name of this node
     * @param control calls to runners
     * @param metrics counts orders
     * @param onFenced told when a runner has seen a later term
     */
    static OrderDesk of(String node, RunnerControl control, NodeMetrics metrics, Consumer<String> onFenced) {
        return new OrderDesk(node, control, metrics, onFenced);
    }

    /** Carries a directive out and ends it on its runner's ledger. */
    void carryOut(Assignment assignment) {
        RunnerLedger ledger = assignment.ledger();
        Directive directive = assignment.directive();
        long begunNanos = System.nanoTime();
        boolean done = false;
        try {
            done = allDone(assignment);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (!done) {
                ledger.unknown(System.nanoTime());
            }
            ledger.end(directive);
        }
        long ms = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begunNanos);
        LOG.write(NodeEvent.ORDER_DONE, ledger.runner().id(), directive.orders(), ms, done ? "done" : "not-done");
    }

    private boolean allDone(Assignment assignment) throws InterruptedException {
        long limitNanos = 0;
        for (PlacementOrder order : assignment.directive().orders()) {
            if (!give(assignment, order, limitNanos) || !await(assignment.ledger(), order, assignment.engine())) {
                return false;
            }
            limitNanos = UNLOAD_LIMIT_NANOS;
        }
        return true;
    }

    /** Gives an order; while the one before it is in progress, again and again. */
    private boolean give(Assignment assignment, PlacementOrder order, long limitNanos) throws InterruptedException {
        if (!assignment.leads().getAsBoolean()) {
            return false;
        }
        long begunNanos = System.nanoTime();
        OrderAnswer answer = order(assignment, order);
        log(assignment, order, answer);
        while (answer == OrderAnswer.CONFLICT
                && System.nanoTime() - begunNanos < limitNanos
                && assignment.leads().getAsBoolean()) {
            TimeUnit.MILLISECONDS.sleep(RETRY_MS);
            answer = order(assignment, order);
            if (answer != OrderAnswer.CONFLICT) {
                log(assignment, order, answer);
            }
        }
        if (answer == OrderAnswer.FENCED) {
            onFenced.accept("runner " + assignment.ledger().runner().id() + " has seen a later term");
        }
        return answer == OrderAnswer.ACCEPTED || answer == OrderAnswer.ALREADY;
    }

    private OrderAnswer order(Assignment assignment, PlacementOrder order) {
        RunnerLedger ledger = assignment.ledger();
        ledger.orderTurn().lock();
        try {
            OrderTicket ticket = new OrderTicket(node, assignment.term(), ledger.sequence());
            OrderAnswer answer = control.order(ledger.runner(), order, ticket);
            metrics.recordOrder(answer.name().toLowerCase(Locale.ROOT));
            if (answer == OrderAnswer.ACCEPTED || answer == OrderAnswer.ALREADY) {
                ledger.accepted(System.nanoTime());
            }
            return answer;
        } finally {
            ledger.orderTurn().unlock();
        }
    }

    private static void log(Assignment assignment, PlacementOrder order, OrderAnswer answer) {
        RunnerLedger ledger = assignment.ledger();
        LOG.write(
                NodeEvent.ORDER,
                ledger.runner().id(),
                order,
                assignment.term(),
                ledger.sequence(),
                answer,
                assignment.directive().reason(),
                ledger.source(order.model()));
    }

    private boolean await(RunnerLedger ledger, PlacementOrder order, Engine engine) throws InterruptedException {
        switch (order) {
            case PlacementOrder.LoadModel load -> {
                LoadSource source = ledger.source(load.model());
                TimeUnit.MILLISECONDS.sleep(source.loadMs(engine.models().get(load.model())) + MARGIN_MS);
                if (source == LoadSource.STORE && !awaitLoad(ledger, order)) {
                    return false;
                }
            }
            case PlacementOrder.LoadAdapter load -> TimeUnit.MILLISECONDS.sleep(ADAPTER_MS);
            case PlacementOrder.UnloadModel unload -> {}
            case PlacementOrder.UnloadAdapter unload -> {}
        }
        ledger.apply(order);
        return true;
    }

    /** Waits for a load whose time depends on others; the runner's reports show its end late. */
    private boolean awaitLoad(RunnerLedger ledger, PlacementOrder order) throws InterruptedException {
        long begunNanos = System.nanoTime();
        while (System.nanoTime() - begunNanos < LOAD_LIMIT_NANOS) {
            try {
                RunnerStatus status = control.status(ledger.runner());
                if (status.shows(order)) {
                    ledger.takeCopies(status);
                    return true;
                }
                if (!status.busy() && status.sequence() > ledger.sequence()) {
                    return false;
                }
            } catch (RunnerControlException e) {
                LOG.write(NodeEvent.REPORT_FAILED, ledger.runner().id(), e.getMessage());
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MS);
        }
        return false;
    }
}
