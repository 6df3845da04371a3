/** HTTP connector on Undertow's client: pooled connections, bounded waits, streaming bodies and cancellation. */
package io.persimmonstack.backends.http;
