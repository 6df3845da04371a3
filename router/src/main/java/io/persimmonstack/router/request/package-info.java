/** State of a request while it passes through the filters, refusals, and the exceptions that end a request. */
package io.persimmonstack.router.request;
