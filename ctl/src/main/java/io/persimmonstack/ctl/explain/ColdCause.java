package io.persimmonstack.ctl.explain;

import io.persimmonstack.wire.explain.Topic;
import io.persimmonstack.wire.gen.StatusLine;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Reason why a model version is not loaded on any runner. */
public sealed interface ColdCause {
    /** Returns the reason as shown to operators. */
    String text();

    /** No deployment of the active configuration serves the version. */
    record NotServed() implements ColdCause {
        @Override
        public String text() {
            return "no deployment in force serves it";
        }
    }

    /** No load of the version has been requested since the coordinators started. */
    record NeverRequested() implements ColdCause {
        @Override
        public String text() {
            return "never asked for since the coordinators started";
        }
    }

    /**
     * The version was unloaded by the keep-alive policy, because of a cap, or to make room for another model.
     *
     * @param detail time, runner and reason of the unload
     */
    record Unloaded(String detail) implements ColdCause {
        @Override
        public String text() {
            return "unloaded at " + detail;
        }
    }

    /**
     * The most recent request to load the version was refused.
     *
     * @param detail time and reason of the refusal
     */
    record Refused(String detail) implements ColdCause {
        @Override
        public String text() {
            return "refused at " + detail;
        }
    }

    /**
     * The version was requested and has been neither refused nor unloaded since, but no runner reports it.
     *
     * @param detail time and origin of the request
     */
    record RequestedNotLoaded(String detail) implements ColdCause {
        @Override
        public String text() {
            return "asked for at " + detail
                    + ", and no load is announced: it has just begun, failed, or its runner is gone";
        }
    }

    /**
     * Determines the reason from the latest refusal, unload and request in the coordinators' answers.
     *
     * @param model model version
     * @param lines status lines of all coordinators
     * @return the reason, or empty if the version is loaded or loading on a runner
     */
    static Optional<ColdCause> of(String model, List<StatusLine> lines) {
        if (!firstValue(model, Topic.STATE, lines).equals(Optional.of(Topic.COLD))) {
            return Optional.empty();
        }
        if (firstValue(model, Topic.DEPLOYMENT, lines).isEmpty()) {
            return Optional.of(new NotServed());
        }
        Optional<String> refused = latestValue(model, Topic.REFUSED, lines);
        Optional<String> unloaded = latestValue(model, Topic.UNLOADED, lines);
        Optional<String> requested = latestValue(model, Topic.ASKED, lines);
        if (refused.isPresent() && !isLater(unloaded, refused) && !isLater(requested, refused)) {
            return refused.map(Refused::new);
        }
        if (unloaded.isPresent() && !isLater(requested, unloaded)) {
            return unloaded.map(Unloaded::new);
        }
        return Optional.of(requested.<ColdCause>map(RequestedNotLoaded::new).orElseGet(NeverRequested::new));
    }

    private static Optional<String> firstValue(String model, Topic topic, List<StatusLine> lines) {
        return lines.stream()
                .filter(line -> line.getSubject().equals(model))
                .filter(line -> line.getAttribute().equals(topic.text()))
                .map(StatusLine::getValue)
                .findFirst();
    }

    private static Optional<String> latestValue(String model, Topic topic, List<StatusLine> lines) {
        return lines.stream()
                .filter(line -> line.getSubject().equals(model))
                .filter(line -> line.getAttribute().equals(topic.text()))
                .map(StatusLine::getValue)
                .max(Comparator.comparing(ColdCause::timestamp));
    }

    /** Returns whether the occurrence is present and later than the reference, which must be present. */
    private static boolean isLater(Optional<String> occurrence, Optional<String> reference) {
        return occurrence.isPresent() && timestamp(occurrence.get()).isAfter(timestamp(reference.orElseThrow()));
    }

    /** Parses the time at the start of a value such as {@code 2026-12-03T10:00:01Z from zone a}. */
    private static Instant timestamp(String occurrence) {
        return Instant.parse(occurrence.split(" ", 2)[0]);
    }
}
