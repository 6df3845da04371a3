/** Fleet configuration: committed by compare-and-swap, stored in chunks, propagated by watches, gossip and peers. */
package io.persimmonstack.coordination.feed;
