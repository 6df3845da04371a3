package io.persimmonstack.node.placing;

import io.persimmonstack.coordination.BoundedMap;
import io.persimmonstack.node.request.CallerRequest;
import io.persimmonstack.node.request.PromptPart;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers which runner last processed each prompt prefix and so probably still has it in its cache. Holds a limited
 * number of prefixes and evicts the least recently used. Not thread-safe.
 */
final class PromptAffinityCache {
    private static final int MAX_ENTRIES = 4_096;
    /**
     * Parts from the start of a prompt that are looked at, since requests wait for each other meanwhile, and since one
     * prompt must not evict the prefixes of many others.
     */
    private static final int MAX_PARTS = 64;

    private final Map<String, String> runnerByPart;

    PromptAffinityCache() {
        this(BoundedMap.droppingLeastUsed(MAX_ENTRIES));
    }

    private PromptAffinityCache(Map<String, String> runnerByPart) {
        this.runnerByPart = runnerByPart;
    }

    /** Returns a copy; looking up prefixes there does not count as their use. */
    PromptAffinityCache copy() {
        return new PromptAffinityCache(new HashMap<>(runnerByPart));
    }

    /** Records that a runner processes the prompt of a request. */
    void recordRunner(CallerRequest request, String runner) {
        for (PromptPart part : sharedParts(request.prompt())) {
            runnerByPart.put(key(request, part), runner);
        }
    }

    /** Returns the runner that last processed the longest known prefix of the prompt, with the length of the prefix. */
    Optional<CachedPrompt> cachedPrompt(CallerRequest request) {
        List<PromptPart> shared = sharedParts(request.prompt());
        for (int parts = shared.size(); parts > 0; parts--) {
            String runner = runnerByPart.get(key(request, shared.get(parts - 1)));
            if (runner != null) {
                long tokens = shared.subList(0, parts).stream()
                        .mapToLong(PromptPart::tokens)
                        .sum();
                return Optional.of(new CachedPrompt(runner, tokens));
            }
        }
        return Optional.empty();
    }

    /**
     * Returns the first parts without the last, which is specific to the request; the only part of a single-part
     * prompt.
     */
    private static List<PromptPart> sharedParts(List<PromptPart> parts) {
        int shared = Math.max(1, parts.size() - 1);
        return parts.subList(0, Math.min(MAX_PARTS, Math.min(shared, parts.size())));
    }

    private static String key(CallerRequest request, PromptPart part) {
        return request.model().map(Object::toString).orElse("") + '#' + part.id();
    }
}
