package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import java.util.function.BooleanSupplier;
import java.util.function.ToIntFunction;

/**
 * Directive to execute, with its context.
 *
 * @param tracker tracker of the runner, at which the directive has begun
 * @param directive orders to send
 * @param term term of this node's leadership, the fencing token of the orders
 * @param engine configuration that gives the duration of loads
 * @param stillLeads returns whether this node is still the leader in that term; no order is sent once it is not
 * @param requestsOf returns the number of requests of a model in progress at the runner, by the nodes' reports
 */
record DirectiveTask(
        RunnerStateTracker tracker,
        Directive directive,
        long term,
        Engine engine,
        BooleanSupplier stillLeads,
        ToIntFunction<String> requestsOf) {
    /** Creates a task for a runner without requests in progress. */
    DirectiveTask(
            RunnerStateTracker tracker, Directive directive, long term, Engine engine, BooleanSupplier stillLeads) {
        this(tracker, directive, term, engine, stillLeads, model -> 0);
    }
}
