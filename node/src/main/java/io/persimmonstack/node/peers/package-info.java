/** Exchange between nodes: each node reports its load to the leader and receives the state of the runners. */
package io.persimmonstack.node.peers;
