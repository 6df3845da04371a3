package io.persimmonstack.node.planning;

import io.persimmonstack.node.config.Engine;
import java.util.function.BooleanSupplier;

/**
 * Directive with what its execution needs.
 *
 * @param ledger runner, on whose ledger the directive has begun
 * @param directive orders
 * @param term fencing number
 * @param engine how long loads take
 * @param leads whether this node still leads in that term; no order is given once it does not
 */
record Assignment(RunnerLedger ledger, Directive directive, long term, Engine engine, BooleanSupplier leads) {}
