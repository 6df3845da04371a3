package io.persimmonstack.node.planning;

import io.persimmonstack.node.NodeEvent;
import io.persimmonstack.node.NodeMetrics;
import io.persimmonstack.runtime.event.EventLog;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Sends the orders of a directive to its runner, one at a time, and waits until each has been carried out. */
final class OrderExecutor {
    private static final EventLog LOG = EventLog.of(OrderExecutor.class);
    /** Time after which the load of an adapter is taken to be carried out. */
    private static final int ADAPTER_LOAD_MS = 10;

    /** Pause after the first conflict; each further one doubles it. */
    private static final int CONFLICT_RETRY_MS = 80;
    /** Longest pause between two tries. */
    private static final int MAX_CONFLICT_RETRY_MS = 320;
    /** Interval at which the requests that an unload waits for are looked up in the nodes' reports. */
    private static final int RUNS_POLL_MS = 20;
    /** Time for which the first order after a load is retried, since the load may take longer than configured. */
    private static final long LOAD_OVERRUN_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Time to wait in addition to the configured duration of a load. */
    private static final int LOAD_MARGIN_MS = 15;

    private static final int STATUS_POLL_MS = 50;
    private static final int STATUS_RETRY_MS = 250;
    /** Time without a usable status after which a runner that carries out an order is given up. */
    private static final long STATUS_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Time for which an order is retried while the runner still carries out the one before it. */
    private static final long UNLOAD_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(8);

    /** Longest wait for the last request of an adapter that is being unloaded. */
    private static final long ADAPTER_UNLOAD_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Longest wait for a load from the weight store, after the configured duration. */
    private static final long LOAD_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(40);

    private final String node;
    private final RunnerControl control;
    private final NodeMetrics metrics;
    private final Consumer<String> onFenced;
    private final UnloadTiming unloadTiming = new UnloadTiming();
    private final StoreConcurrency storeConcurrency = new StoreConcurrency();

    /** Unload of a model that the runner has accepted at the given monotonic time. */
    private record UnloadInProgress(String model, long acceptedNanos) {
        /** Returns how long the order after it is still tried, in nanoseconds. */
        long remainingNanos() {
            return UNLOAD_TIMEOUT_NANOS - (System.nanoTime() - acceptedNanos);
        }
    }

    /** Waits before an order is tried again. */
    private interface RetryWait {
        void await() throws InterruptedException;
    }

    private OrderExecutor(String node, RunnerControl control, NodeMetrics metrics, Consumer<String> onFenced) {
        this.node = node;
        this.control = control;
        this.metrics = metrics;
        this.onFenced = onFenced;
    }

    /**
     * Creates an executor.
     *
     * @param node name of this node
     * @param control sends orders to runners
     * @param metrics counts the orders by answer
     * @param onFenced receives a cause when a runner has seen a later term, so that this node steps down
     */
    static OrderExecutor of(String node, RunnerControl control, NodeMetrics metrics, Consumer<String> onFenced) {
        return new OrderExecutor(node, control, metrics, onFenced);
    }

    /** Returns the limits of concurrent loads from the weight store, learned from the loads of this executor. */
    StoreLimits storeLimits() {
        return storeConcurrency.limits(System.nanoTime());
    }

    /** Executes a directive and ends it at its runner's tracker. Blocks until all orders are done or one has failed. */
    void execute(DirectiveTask task) {
        RunnerStateTracker tracker = task.tracker();
        Directive directive = task.directive();
        long startNanos = System.nanoTime();
        boolean completed = false;
        try {
            completed = executeOrders(task);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            if (!completed) {
                tracker.markStateUnknown(System.nanoTime());
            }
            tracker.endDirective();
        }
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        LOG.write(
                NodeEvent.ORDER_DONE,
                tracker.runner().id(),
                directive.orders(),
                elapsedMs,
                completed ? "done" : "not-done");
    }

    private boolean executeOrders(DirectiveTask task) throws InterruptedException {
        long sequence = task.directive().sequence();
        Optional<UnloadInProgress> unload = Optional.empty();
        for (PlacementOrder order : task.directive().orders()) {
            OrderAnswer answer = unload.isPresent()
                    ? sendAfterUnload(task, order, sequence, unload.get())
                    : sendWithRetry(task, order, sequence, firstOrderTimeoutNanos(task, sequence));
            if (answer == OrderAnswer.UNKNOWN) {
                task.tracker().orderUnanswered(order, sequence);
            }
            if (!countsAsAccepted(order, answer)) {
                return false;
            }
            task.tracker().orderAccepted(System.nanoTime());
            unload = unloadInProgress(order);
            if (!awaitCompletion(task, order, answer)) {
                return false;
            }
            sequence++;
        }
        return true;
    }

    /** Returns how long to retry the first order of a directive: the load before it may not have ended yet. */
    private static long firstOrderTimeoutNanos(DirectiveTask task, long sequence) {
        boolean first = sequence == task.directive().sequence();
        return first && task.tracker().loadEndedWithin(LOAD_OVERRUN_NANOS, System.nanoTime()) ? LOAD_OVERRUN_NANOS : 0;
    }

    private static Optional<UnloadInProgress> unloadInProgress(PlacementOrder order) {
        return order instanceof PlacementOrder.UnloadModel unload
                ? Optional.of(new UnloadInProgress(unload.model(), System.nanoTime()))
                : Optional.empty();
    }

    /**
     * Sends the order that follows an unload of a model, once the unload is expected to be complete: an unload waits
     * for the requests of its model, and then takes the learned time.
     */
    private OrderAnswer sendAfterUnload(
            DirectiveTask task, PlacementOrder order, long sequence, UnloadInProgress unload)
            throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(unloadTiming.unloadMs());
        boolean waitedForRequests = awaitRequests(task, unload);
        boolean[] refused = {false};
        OrderAnswer answer = sendWithRetry(task, order, sequence, unload.remainingNanos(), () -> {
            refused[0] = true;
            awaitRequests(task, unload);
        });
        boolean answered = answer == OrderAnswer.ACCEPTED || answer == OrderAnswer.CONFLICT;
        if (answered && !waitedForRequests) {
            unloadTiming.record(refused[0]);
        }
        if (answer == OrderAnswer.ACCEPTED) {
            metrics.recordUnload(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - unload.acceptedNanos()));
        }
        return answer;
    }

    /**
     * Waits until the nodes report no more requests of the model that is being unloaded.
     *
     * @return whether there were any
     */
    private static boolean awaitRequests(DirectiveTask task, UnloadInProgress unload) throws InterruptedException {
        boolean waited = false;
        while (task.requestsOf().applyAsInt(unload.model()) > 0
                && unload.remainingNanos() > 0
                && task.stillLeads().getAsBoolean()) {
            waited = true;
            TimeUnit.MILLISECONDS.sleep(RUNS_POLL_MS);
        }
        return waited;
    }

    /** Returns whether a runner that gave this answer has counted the order. */
    private static boolean countsAsAccepted(PlacementOrder order, OrderAnswer answer) {
        return answer == OrderAnswer.ACCEPTED
                || answer == OrderAnswer.ALREADY && order instanceof PlacementOrder.UnloadAdapter;
    }

    private OrderAnswer sendWithRetry(
            DirectiveTask task, PlacementOrder order, long sequence, long conflictTimeoutNanos)
            throws InterruptedException {
        return sendWithRetry(task, order, sequence, conflictTimeoutNanos, () -> {});
    }

    /**
     * Sends an order, and retries it while the runner answers with a conflict because the previous order is in
     * progress, or wants quiet.
     *
     * @param task directive that the order belongs to
     * @param order order to send
     * @param sequence number of orders that the runner has accepted if its state is the one that was planned on
     * @param conflictTimeoutNanos how long to retry, in nanoseconds; 0 if no previous order can be in progress
     * @param beforeRetry waits for what the conflict may be due to, in addition to the pause
     * @return the last answer, {@code UNKNOWN} if this node no longer leads
     */
    private OrderAnswer sendWithRetry(
            DirectiveTask task, PlacementOrder order, long sequence, long conflictTimeoutNanos, RetryWait beforeRetry)
            throws InterruptedException {
        if (!task.stillLeads().getAsBoolean()) {
            return OrderAnswer.UNKNOWN;
        }
        long startNanos = System.nanoTime();
        OrderAnswer answer = send(task, order, sequence);
        logOrder(task, order, sequence, answer);
        int pauseMs = CONFLICT_RETRY_MS;
        while ((answer == OrderAnswer.CONFLICT || answer == OrderAnswer.WITHHELD)
                && System.nanoTime() - startNanos < conflictTimeoutNanos) {
            TimeUnit.MILLISECONDS.sleep(pauseMs);
            pauseMs = Math.min(2 * pauseMs, MAX_CONFLICT_RETRY_MS);
            if (answer == OrderAnswer.CONFLICT) {
                beforeRetry.await();
            }
            if (!task.stillLeads().getAsBoolean()) {
                return OrderAnswer.UNKNOWN;
            }
            answer = send(task, order, sequence);
            if (answer != OrderAnswer.CONFLICT && answer != OrderAnswer.WITHHELD) {
                logOrder(task, order, sequence, answer);
            }
        }
        if (answer == OrderAnswer.FENCED) {
            onFenced.accept("runner " + task.tracker().runner().id() + " has seen a later term");
        }
        return answer;
    }

    private OrderAnswer send(DirectiveTask task, PlacementOrder order, long sequence) {
        OrderPrecondition precondition = new OrderPrecondition(node, task.term(), sequence);
        OrderAnswer answer = control.order(task.tracker().runner(), order, precondition, task.stillLeads());
        metrics.recordOrder(answer.name().toLowerCase(Locale.ROOT));
        return answer;
    }

    private static void logOrder(DirectiveTask task, PlacementOrder order, long sequence, OrderAnswer answer) {
        RunnerStateTracker tracker = task.tracker();
        LOG.write(
                NodeEvent.ORDER,
                tracker.runner().id(),
                order,
                task.term(),
                sequence,
                answer,
                task.directive().reason(),
                tracker.loadSource(order.model()));
    }

    /** Waits until an accepted order has been carried out; returns false if it has not. */
    private boolean awaitCompletion(DirectiveTask task, PlacementOrder order, OrderAnswer answer)
            throws InterruptedException {
        RunnerStateTracker tracker = task.tracker();
        return switch (order) {
            case PlacementOrder.LoadModel load -> awaitModel(task, load);
            case PlacementOrder.LoadAdapter load -> {
                TimeUnit.MILLISECONDS.sleep(ADAPTER_LOAD_MS);
                tracker.applyOrder(order);
                yield true;
            }
            case PlacementOrder.UnloadModel unload -> {
                tracker.applyOrder(order);
                yield true;
            }
            case PlacementOrder.UnloadAdapter unload -> {
                tracker.applyOrder(order);
                yield answer == OrderAnswer.ALREADY || awaitStatus(tracker, order, ADAPTER_UNLOAD_TIMEOUT_NANOS);
            }
        };
    }

    private boolean awaitModel(DirectiveTask task, PlacementOrder.LoadModel load) throws InterruptedException {
        RunnerStateTracker tracker = task.tracker();
        LoadSource source = tracker.loadSource(load.model());
        long loadMs = source.loadMs(task.engine().models().get(load.model()));
        if (source == LoadSource.STORE) {
            return awaitStoreLoad(tracker, load, loadMs);
        }
        TimeUnit.MILLISECONDS.sleep(loadMs + LOAD_MARGIN_MS);
        tracker.applyOrder(load);
        return true;
    }

    private boolean awaitStoreLoad(RunnerStateTracker tracker, PlacementOrder.LoadModel load, long loadMs)
            throws InterruptedException {
        StoreConcurrency.Load storeLoad = storeConcurrency.begin(loadMs, System.nanoTime());
        boolean loaded = false;
        try {
            TimeUnit.MILLISECONDS.sleep(loadMs + LOAD_MARGIN_MS);
            loaded = awaitStatus(tracker, load, LOAD_TIMEOUT_NANOS);
        } finally {
            if (storeConcurrency.end(storeLoad, loaded, System.nanoTime())) {
                StoreLimits limits = storeLimits();
                LOG.write(NodeEvent.STORE_LIMITS, limits.loads(), limits.urgentLoads());
            }
        }
        if (loaded) {
            tracker.applyOrder(load);
        }
        return loaded;
    }

    /**
     * Polls the runner until its status shows the result of an order whose duration cannot be predicted. A runner that
     * gives no status for a moment may still be carrying out the order.
     */
    private boolean awaitStatus(RunnerStateTracker tracker, PlacementOrder order, long timeoutNanos)
            throws InterruptedException {
        long startNanos = System.nanoTime();
        long lastStatusNanos = startNanos;
        while (System.nanoTime() - startNanos < timeoutNanos) {
            int pauseMs = STATUS_POLL_MS;
            try {
                RunnerStatus status = control.status(tracker.runner());
                lastStatusNanos = System.nanoTime();
                if (status.sequence() >= tracker.sequence() && status.reflects(order)) {
                    tracker.updateCopies(status);
                    return true;
                }
                if (!status.busy() && status.sequence() > tracker.sequence()) {
                    return false;
                }
            } catch (RunnerControlException e) {
                LOG.write(NodeEvent.REPORT_FAILED, tracker.runner().id(), e.getMessage());
                if (System.nanoTime() - lastStatusNanos > STATUS_SILENCE_NANOS) {
                    return false;
                }
                pauseMs = STATUS_RETRY_MS;
            }
            TimeUnit.MILLISECONDS.sleep(pauseMs);
        }
        return false;
    }
}
