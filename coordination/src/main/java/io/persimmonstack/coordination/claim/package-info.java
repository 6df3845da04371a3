/**
 * Claim log for non-idempotent requests: the idempotency key of a request is claimed in the key-value service before
 * the request runs.
 */
package io.persimmonstack.coordination.claim;
