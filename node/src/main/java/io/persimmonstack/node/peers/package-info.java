/** Messages between nodes: each reports its load to the leader and gets the load of the fleet. */
package io.persimmonstack.node.peers;
