/** Port to the platform's list of live and leaving hosts, and its HTTP adapter. */
package io.persimmonstack.backends.hosts;
