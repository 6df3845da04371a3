package io.persimmonstack.runtime.admin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.sdk.trace.data.SpanData;
import java.util.List;

/** Renders the spans of one trace as a JSON array. */
final class TracePage {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private TracePage() {}

    /** Returns the spans as a JSON array in the given order, with a trailing newline. */
    static String json(List<SpanData> spans) {
        ArrayNode page = MAPPER.createArrayNode();
        spans.forEach(span -> write(page.addObject(), span));
        return page.toPrettyString() + "\n";
    }

    private static void write(ObjectNode node, SpanData span) {
        node.put("program", span.getInstrumentationScopeInfo().getName());
        node.put("name", span.getName());
        node.put("kind", span.getKind().name());
        node.put("trace", span.getTraceId());
        node.put("span", span.getSpanId());
        node.put("parent", span.getParentSpanId());
        node.put("startNanos", span.getStartEpochNanos());
        node.put("endNanos", span.getEndEpochNanos());
        ObjectNode attributes = node.putObject("attributes");
        span.getAttributes().forEach((key, value) -> attributes.put(key.getKey(), value.toString()));
    }
}
