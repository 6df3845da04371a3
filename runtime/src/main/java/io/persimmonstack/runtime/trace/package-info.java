/** OpenTelemetry tracing whose recent spans are kept in memory and served by the admin port. */
package io.persimmonstack.runtime.trace;
