/** Snapshot of the runners, the other nodes, the leader and the configuration, replaced on each change. */
package io.persimmonstack.node.fleet;
