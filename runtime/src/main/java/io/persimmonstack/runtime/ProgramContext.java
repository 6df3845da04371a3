package io.persimmonstack.runtime;

import com.codahale.metrics.MetricRegistry;
import io.persimmonstack.runtime.admin.AdminPages;
import io.persimmonstack.runtime.admin.Readiness;
import io.persimmonstack.runtime.trace.Tracing;

/**
 * Shared resources that {@link ProgramMain} passes to a starting program.
 *
 * @param metrics registry served by the admin port
 * @param readiness state that {@code /ready} reports; the program sets it
 * @param tracing source of spans
 * @param closer owner of resources that are closed after the program has stopped
 * @param pages pages that the program adds to the admin port
 */
public record ProgramContext(
        MetricRegistry metrics, Readiness readiness, Tracing tracing, Closer closer, AdminPages pages) {
    /** Creates a context without additional admin pages. */
    public ProgramContext(MetricRegistry metrics, Readiness readiness, Tracing tracing, Closer closer) {
        this(metrics, readiness, tracing, closer, AdminPages.empty());
    }
}
