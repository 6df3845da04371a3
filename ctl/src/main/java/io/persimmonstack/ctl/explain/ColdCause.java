package io.persimmonstack.ctl.explain;

import io.persimmonstack.wire.explain.Topic;
import io.persimmonstack.wire.gen.StatusLine;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Why a model version is loaded nowhere. */
public sealed interface ColdCause {
    /** Returns the cause in words. */
    String text();

    /** No deployment in force has the version. */
    record NotServed() implements ColdCause {
        @Override
        public String text() {
            return "no deployment in force serves it";
        }
    }

    /** No coordinator was asked for it. */
    record NeverRequested() implements ColdCause {
        @Override
        public String text() {
            return "never asked for since the coordinators started";
        }
    }

    /**
     * The keep-alive policy, a cap, or another model's need took it away.
     *
     * @param detail when, where and why
     */
    record Unloaded(String detail) implements ColdCause {
        @Override
        public String text() {
            return "unloaded at " + detail;
        }
    }

    /**
     * The last demand was refused.
     *
     * @param detail when and why
     */
    record Refused(String detail) implements ColdCause {
        @Override
        public String text() {
            return "refused at " + detail;
        }
    }

    /**
     * It was asked for, and neither refused nor unloaded since.
     *
     * @param detail when and from where
     */
    record RequestedNotLoaded(String detail) implements ColdCause {
        @Override
        public String text() {
            return "asked for at " + detail
                    + ", and no load is announced: it has just begun, failed, or its runner is gone";
        }
    }

    /**
     * Finds the cause.
     *
     * @param model model version
     * @param lines what all coordinators answered
     * @return the cause, empty where the version is loaded or loading somewhere
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

    private static boolean isLater(Optional<String> occurrence, Optional<String> reference) {
        return occurrence.isPresent() && timestamp(occurrence.get()).isAfter(timestamp(reference.orElseThrow()));
    }

    private static Instant timestamp(String occurrence) {
        return Instant.parse(occurrence.split(" ", 2)[0]);
    }
}
