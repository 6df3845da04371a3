/**
 * The program {@code persimmon-router}: accepts requests from callers, admits them, claims their idempotency keys,
 * sends them to targets and relays the answers.
 */
package io.persimmonstack.router;
