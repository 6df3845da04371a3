/**
 * Coordination of many nodes: membership, runner ownership, replica grants, idempotency claims, fleet-wide limits and
 * configuration versions.
 */
package io.persimmonstack.coordination;
