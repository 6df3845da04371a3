/**
 * Planner of the elected leader: decides which runners load and unload which models and adapters, and sends the orders.
 */
package io.persimmonstack.node.planning;
