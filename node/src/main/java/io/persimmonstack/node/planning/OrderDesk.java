package io.persimmonstack.node.planning;

import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.fleet.Runner;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
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

    /**
     * Carries a directive out.
     *
     * @param ledger runner, on whose ledger the directive has begun
     * @param directive orders
     * @param term fencing number
     * @param engine how long loads take
     * @param leads whether this node still leads in that term; no order is given once it does not
     */
    void carryOut(RunnerLedger ledger, Directive directive, long term, Engine engine, BooleanSupplier leads) {
        long begunNanos = System.nanoTime();
        boolean done = false;
        try {
            done = allDone(ledger, directive, term, engine, leads);
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

    private boolean allDone(RunnerLedger ledger, Directive directive, long term, Engine engine, BooleanSupplier leads)
            throws InterruptedException {
        boolean first = true;
        for (PlacementOrder order : directive.orders()) {
            long limitNanos = first ? 0 : UNLOAD_LIMIT_NANOS;
            if (!give(ledger, order, term, directive.reason(), limitNanos, leads) || !await(ledger, order, engine)) {
                return false;
            }
            first = false;
        }
        return true;
    }

    /** Gives an order; while the one before it is in progress, again and again. */
    private boolean give(
            RunnerLedger ledger, PlacementOrder order, long term, String reason, long limitNanos, BooleanSupplier leads)
            throws InterruptedException {
        long begunNanos = System.nanoTime();
        if (!leads.getAsBoolean()) {
            return false;
        }
        OrderAnswer answer = order(ledger, order, term, reason);
        while (answer == OrderAnswer.CONFLICT && System.nanoTime() - begunNanos < limitNanos && leads.getAsBoolean()) {
            TimeUnit.MILLISECONDS.sleep(RETRY_MS);
            answer = order(ledger, order, term, reason);
        }
        if (answer == OrderAnswer.FENCED) {
            onFenced.accept("runner " + ledger.runner().id() + " has seen a later term");
        }
        return answer == OrderAnswer.ACCEPTED || answer == OrderAnswer.ALREADY;
    }

    private OrderAnswer order(RunnerLedger ledger, PlacementOrder order, long term, String reason) {
        ledger.orderTurn().lock();
        try {
            Runner runner = ledger.runner();
            long sequence = ledger.sequence();
            OrderAnswer answer = control.order(runner, order, new OrderTicket(node, term, sequence));
            metrics.order(answer.name().toLowerCase(Locale.ROOT));
            LOG.write(
                    NodeEvent.ORDER, runner.id(), order, term, sequence, answer, reason, ledger.source(order.model()));
            if (answer == OrderAnswer.ACCEPTED || answer == OrderAnswer.ALREADY) {
                ledger.accepted(System.nanoTime());
            }
            return answer;
        } finally {
            ledger.orderTurn().unlock();
        }
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
