/** HTTP client on top of Undertow's: pooled connections, timeouts, streaming response bodies and cancellation. */
package io.persimmonstack.backends.http;
