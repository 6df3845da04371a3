/**
 * Usage caps over all nodes: slots that divide the right to grant tokens, their assignment by the leader, the token
 * buckets of their holders, and the tokens that a node has been granted. No threads, calls or clocks.
 */
package io.persimmonstack.coordination.cap;
