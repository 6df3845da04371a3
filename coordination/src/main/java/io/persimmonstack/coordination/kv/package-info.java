/** Interface to the platform's key-value service: compare-and-swap on single keys, prefix reads, watches and leases. */
package io.persimmonstack.coordination.kv;
