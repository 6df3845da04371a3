/** Requests of callers, and what the node answers by itself. */
package io.persimmonstack.node.request;
