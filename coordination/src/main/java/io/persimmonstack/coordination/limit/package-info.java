/** Fleet-wide concurrency and rate limits, divided into permits that live nodes lend to each other. */
package io.persimmonstack.coordination.limit;
