package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import java.util.function.BooleanSupplier;

/**
 * Directive with what its execution needs.
 *
 * @param tracker runner, on whose ledger the directive has begun
 * @param directive orders
 * @param term fencing number
 * @param engine how long loads take
 * @param stillLeads whether this node still leads in that term; no order is given once it does not
 */
record DirectiveTask(
        RunnerStateTracker tracker, Directive directive, long term, Engine engine, BooleanSupplier stillLeads) {}
