/** Mutual TLS between the system's own processes, configured by settings. */
package io.persimmonstack.backends.peer;
