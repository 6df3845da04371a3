package io.persimmonstack.node.placing;

import io.persimmonstack.node.config.Engine;
import io.persimmonstack.node.config.Service;
import io.persimmonstack.node.request.ModelRef;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;

/**
 * Chooses the runner for one request: among those that may run it, the one with the smallest share of its places taken,
 * with a preference for runners that have kept the beginning of the prompt, that are near and that have not failed.
 */
final class RunnerChoice {
    private static final double FAILURE_PENALTY = 0.5;
    private static final double OTHER_ZONE_PENALTY = 0.02;
    private static final double KEPT_PROMPT_BONUS = 0.15;
    private static final double MEMORY_SHARE = 0.92;
    private final Service service;
    private final String zone;
    private final long nowNanos;

    private RunnerChoice(Service service, String zone, long nowNanos) {
        this.service = service;
        this.zone = zone;
        this.nowNanos = nowNanos;
    }

    static RunnerChoice of(Service service, String zone, long nowNanos) {
        return new RunnerChoice(service, zone, nowNanos);
    }

    /**
     * Chooses a runner with a free place.
     *
     * @param books all runners of the service
     * @param wanted what the request needs
     */
    Optional<RunnerBook> choose(Collection<RunnerBook> books, Wanted wanted) {
        return books.stream()
                .filter(book -> canRun(book, wanted))
                .filter(book -> hasRoom(book, wanted.tokens()))
                .min(Comparator.comparingDouble(book -> cost(book, wanted)));
    }

    /**
     * What a request needs of its runner.
     *
     * @param model model asked for, absent for plain services
     * @param tokens tokens that it will probably occupy
     * @param excluded runners that it was sent to before
     * @param promptKeeper runner that probably keeps the beginning of its prompt
     */
    record Wanted(Optional<ModelRef> model, long tokens, Set<String> excluded, Optional<String> promptKeeper) {}

    private boolean canRun(RunnerBook book, Wanted wanted) {
        return !book.runner().leaving()
                && !wanted.excluded().contains(book.runner().id())
                && !book.isAvoided(nowNanos)
                && wanted.model().map(model -> book.holds(model, nowNanos)).orElse(true);
    }

    private boolean hasRoom(RunnerBook book, long tokens) {
        if (book.requestsEverywhere() >= slots(book)) {
            return false;
        }
        long memory = service.engine().map(Engine::cacheTokens).orElse(Long.MAX_VALUE);
        return book.requestsEverywhere() == 0 || book.tokensEverywhere() + tokens <= memory * MEMORY_SHARE;
    }

    private int slots(RunnerBook book) {
        return Math.max(1, book.runner().slots());
    }

    private double cost(RunnerBook book, Wanted wanted) {
        double load = (double) book.requestsEverywhere() / slots(book);
        double memory = service.engine()
                .map(engine -> (double) book.tokensEverywhere() / engine.cacheTokens())
                .orElse(0.0);
        double distance = book.runner().zone().equals(zone) ? 0 : OTHER_ZONE_PENALTY;
        double kept = wanted.promptKeeper().filter(book.runner().id()::equals).isPresent() ? KEPT_PROMPT_BONUS : 0;
        return Math.max(load, memory) + FAILURE_PENALTY * book.recentFailures(nowNanos) + distance - kept;
    }
}
