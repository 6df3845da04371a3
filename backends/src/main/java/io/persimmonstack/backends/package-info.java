/** Clients of the platform's services; each interface has its own package and all share one HTTP connector. */
package io.persimmonstack.backends;
