/** What the node reads from and keeps in the key-value service: configuration, runners, nodes and the leader. */
package io.persimmonstack.node.store;
