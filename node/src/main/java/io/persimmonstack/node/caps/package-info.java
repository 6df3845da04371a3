/**
 * Usage caps of workspaces: the node as holder of slots, as client of other holders and, while elected, as the leader
 * that assigns the slots. The decisions are those of {@code coordination.cap}.
 */
package io.persimmonstack.node.caps;
