/** Selects a runner for each request, queues requests that no runner can take yet, and limits retries. */
package io.persimmonstack.node.placing;
