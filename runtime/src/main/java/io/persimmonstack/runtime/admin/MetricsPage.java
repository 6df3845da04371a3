package io.persimmonstack.runtime.admin;

import com.codahale.metrics.Counting;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Metric;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Sampling;
import com.codahale.metrics.Snapshot;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.TreeMap;

/** Renders a metric registry as one JSON object, sorted by metric name. */
public final class MetricsPage {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final MetricRegistry metrics;

    private MetricsPage(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** Returns the page that renders a registry. */
    public static MetricsPage of(MetricRegistry metrics) {
        return new MetricsPage(metrics);
    }

    /**
     * Returns the current values as JSON: a gauge as its value, a counter or meter as its count, a histogram or timer
     * as an object with count, percentiles and maximum.
     */
    public String json() {
        ObjectNode page = MAPPER.createObjectNode();
        new TreeMap<>(metrics.getMetrics()).forEach((name, metric) -> write(page, name, metric));
        return page.toPrettyString() + "\n";
    }

    private static void write(ObjectNode page, String name, Metric metric) {
        if (metric instanceof Gauge<?> gauge) {
            page.putPOJO(name, gauge.getValue());
            return;
        }
        if (!(metric instanceof Sampling sampling)) {
            page.put(name, ((Counting) metric).getCount());
            return;
        }
        Snapshot snapshot = sampling.getSnapshot();
        ObjectNode node = page.putObject(name);
        node.put("count", ((Counting) metric).getCount());
        node.put("p50", snapshot.getMedian());
        node.put("p95", snapshot.get95thPercentile());
        node.put("p99", snapshot.get99thPercentile());
        node.put("max", snapshot.getMax());
    }
}
