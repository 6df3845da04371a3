/** Requests of callers, and the refusals by which the node answers them itself. */
package io.persimmonstack.node.request;
