package io.persimmonstack.runtime;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.runtime.admin.AdminPages;
import io.persimmonstack.runtime.admin.Readiness;
import io.persimmonstack.runtime.trace.Tracing;

/**
 * Resources that the frame provides to a program.
 *
 * @param metrics registry shown on the admin port
 * @param readiness what {@code /ready} answers
 * @param tracing source of spans
 * @param closer closed after the program has stopped
 * @param pages pages of the program on the admin port
 */
public record ProgramContext(
        MetricRegistry metrics, Readiness readiness, Tracing tracing, Closer closer, AdminPages pages) {
    /** Creates a context without pages of the program. */
    public ProgramContext(MetricRegistry metrics, Readiness readiness, Tracing tracing, Closer closer) {
        this(metrics, readiness, tracing, closer, AdminPages.empty());
    }
}
