/** The elected planner: decides which runner loads and unloads which model or adapter, and orders it. */
package io.persimmonstack.node.planning;
