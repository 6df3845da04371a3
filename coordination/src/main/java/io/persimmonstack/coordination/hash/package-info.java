/** Rendezvous hashing, by which nodes with the same membership view assign keys to the same nodes. */
package io.persimmonstack.coordination.hash;
