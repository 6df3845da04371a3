/** Assembles a node: it serves callers, answers directory lookups and, while elected, plans the loads of all runners. */
package io.persimmonstack.node;
