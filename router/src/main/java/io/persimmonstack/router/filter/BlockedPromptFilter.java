package io.persimmonstack.router.filter;

import io.persimmonstack.coordination.crash.BlockedPart;
import io.persimmonstack.coordination.crash.PartGuard;
import io.persimmonstack.router.request.Jitter;
import io.persimmonstack.router.request.Refusal;
import io.persimmonstack.router.request.RefusalCode;
import io.persimmonstack.router.request.RefusalException;
import io.persimmonstack.router.request.Request;
import io.persimmonstack.router.request.RouterException;
import io.persimmonstack.router.request.Work;
import java.util.List;
import java.util.Optional;

/** Refuses requests at once under whose prompts targets end. */
public final class BlockedPromptFilter implements Filter {
    private final PartGuard guard;

    private BlockedPromptFilter(PartGuard guard) {
        this.guard = guard;
    }

    /** Returns a filter that asks the given guard. */
    public static BlockedPromptFilter of(PartGuard guard) {
        return new BlockedPromptFilter(guard);
    }

    @Override
    public String name() {
        return "blocked-prompt";
    }

    @Override
    public void handle(Request request, FilterChain next) throws RouterException, InterruptedException {
        Optional<BlockedPart> blocked = guard.blockedPart(parts(request));
        if (blocked.isPresent()) {
            throw refusal(blocked.get());
        }
        next.proceed(request);
    }

    /** Returns the identifiers of the shared parts of a prompt, empty for a service call. */
    static List<String> parts(Request request) {
        return request.work() instanceof Work.Completion completion ? completion.promptParts() : List.of();
    }

    static RefusalException refusal(BlockedPart part) {
        return Refusal.notRun(RefusalCode.PROMPT_BLOCKED, part.detail(), Jitter.spread(part.retryAfterMs()))
                .exception();
    }
}
