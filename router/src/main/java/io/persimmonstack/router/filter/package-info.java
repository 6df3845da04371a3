/** Filters that every request passes in turn, and the chain that runs each of them in its own trace span. */
package io.persimmonstack.router.filter;
