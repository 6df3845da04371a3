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

/** Writes all metrics as one JSON object, names in order. */
public final class MetricsPage {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private final MetricRegistry metrics;

    private MetricsPage(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    /** Returns the page of a registry. */
    public static MetricsPage of(MetricRegistry metrics) {
        return new MetricsPage(metrics);
    }

    /** Returns the current values as JSON text. */
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
