/** Follows configuration, runners and nodes in the key-value store, and keeps the lease and leadership of this node. */
package io.persimmonstack.node.store;
