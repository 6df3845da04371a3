/** Claims the idempotency keys of requests that must run at most once, through the preferred router of their shard. */
package io.persimmonstack.router.claim;
