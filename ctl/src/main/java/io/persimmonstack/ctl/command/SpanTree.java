package io.persimmonstack.ctl.command;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Formats the spans of a trace as a tree, each below its parent. A line shows the start relative to the first span and
 * the duration, both in milliseconds.
 */
final class SpanTree {
    private static final double NANOS_PER_MS = 1_000_000.0;
    private final List<Span> spans;
    private final long firstStartNanos;
    private final StringBuilder text = new StringBuilder();

    private SpanTree(List<Span> spans) {
        this.spans = spans.stream()
                .sorted(Comparator.comparingLong(Span::startNanos))
                .toList();
        this.firstStartNanos = this.spans.get(0).startNanos();
    }

    /**
     * Formats the spans as a tree. Spans whose parent is not among them are roots.
     *
     * @param spans at least one span
     * @return one line for each span
     */
    static String render(List<Span> spans) {
        SpanTree tree = new SpanTree(spans);
        Set<String> spanIds = spans.stream().map(Span::span).collect(Collectors.toSet());
        tree.spans.stream().filter(span -> !spanIds.contains(span.parent())).forEach(root -> tree.append(root, ""));
        return tree.text.toString();
    }

    private void append(Span span, String indent) {
        double startMs = (span.startNanos() - firstStartNanos) / NANOS_PER_MS;
        double durationMs = (span.endNanos() - span.startNanos()) / NANOS_PER_MS;
        text.append(String.format("%9.1f ms %9.1f ms  ", startMs, durationMs))
                .append(indent)
                .append(span.program())
                .append(' ')
                .append(span.name())
                .append('\n');
        spans.stream()
                .filter(child -> child.parent().equals(span.span()))
                .forEach(child -> append(child, indent + "  "));
    }
}
