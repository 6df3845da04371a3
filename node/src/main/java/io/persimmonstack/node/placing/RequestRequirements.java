package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ActiveRequest;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.RefusedException;
import java.util.Optional;

/** Reads from a request what it requires of its runner. */
final class RequestRequirements {
    private RequestRequirements() {}

    /**
     * Returns what a request requires of its runner.
     *
     * @param request request to place
     * @param runnerFilter runners that may take it
     * @param promptAffinity tells the runner that probably caches the start of its prompt
     */
    static RunnerSelector.Requirements of(
            ActiveRequest request, RunnerFilter runnerFilter, PromptAffinityCache promptAffinity) {
        CallerRequest callerRequest = request.callerRequest();
        Optional<CachedPrompt> cached = promptAffinity.cachedPrompt(callerRequest);
        return new RunnerSelector.Requirements(
                callerRequest.model(),
                callerRequest.tokens().likelyTotal(),
                runnerFilter,
                cached.map(CachedPrompt::runner),
                callerRequest.tokens().prompt(),
                cached.map(CachedPrompt::tokens).orElse(0L));
    }

    /**
     * Refuses a request that exceeds the whole cache of each runner of its service: a runner whose requests exceed its
     * cache ends.
     */
    static void refuseIfTooLarge(ActiveRequest request) throws RefusedException {
        Optional<RefusedException> refusal = tooLarge(request);
        if (refusal.isPresent()) {
            throw refusal.get();
        }
    }

    /** Returns the refusal of a request that exceeds the whole cache, empty if it does not. */
    static Optional<RefusedException> tooLarge(ActiveRequest request) {
        long expectedTokens = request.callerRequest().tokens().likelyTotal();
        return MemoryRoom.fitsService(request.service(), expectedTokens)
                ? Optional.empty()
                : Optional.of(PlacementRefusals.tooLarge(expectedTokens));
    }
}
