package io.persimmonstack.coordination.cap;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

/**
 * Takes the tokens that requests of one node need: from what it has been granted or from the holders of the slots. It
 * asks one holder after the other and remembers which have no room. Thread-safe; holders are asked without a lock.
 */
public final class TokenTaker {
    /** Holders without room that are asked for one request; more calls find little while the cap is used up. */
    private static final int MAX_EXHAUSTED = 2;

    private final CapBounds bounds;
    private final Holders holders;
    private final Predicate<SlotHolder> isSelf;
    private final Supplier<ClockReading> clock;
    private final RandomGenerator random;
    private final Map<String, GrantedTokens> workspaces = new HashMap<>();
    private SlotTable table = SlotTable.NONE;

    /**
     * Question to a holder.
     *
     * @param workspace name of the workspace
     * @param share share of its cap that belongs to each slot
     * @param need tokens that are granted completely or not at all
     * @param ahead tokens that are granted as far as there are plenty
     * @param returns tokens of earlier answers that were not used
     */
    public record Question(String workspace, CapShare share, long need, long ahead, List<TokenBatch> returns) {}

    /** Asks the holders of slots. */
    public interface Holders {
        /** Asks a holder; one that does not answer counts as holding nothing. */
        HeldSlots.Answer ask(SlotHolder holder, Question question);
    }

    /** Whether a request may be sent. */
    public sealed interface Decision {
        /**
         * It may be sent.
         *
         * @param batches tokens that were taken for it
         */
        record Admitted(List<TokenBatch> batches) implements Decision {}

        /**
         * The workspace is over its cap.
         *
         * @param retryMs time until there is room for the request, in milliseconds
         */
        record OverCap(long retryMs) implements Decision {}

        /** No holder answers. */
        record Unknown() implements Decision {}
    }

    /** What would probably be decided about a request, as far as it is known without asking a holder. */
    public sealed interface Outlook {
        /** This node has the tokens. */
        record Enough() implements Outlook {}

        /**
         * Holders would be asked that have not said to be exhausted.
         *
         * @param holders number of these holders
         */
        record Asked(int holders) implements Outlook {}

        /**
         * All holders that are known have too few.
         *
         * @param retryMs time until there is room for the request, in milliseconds
         */
        record Later(long retryMs) implements Outlook {}

        /** No holder is known that answers. */
        record NoHolder() implements Outlook {}
    }

    /**
     * Creates a taker without tokens.
     *
     * @param bounds tell for how long a grant is valid
     * @param holders asks holders
     * @param isSelf returns whether this process is a holder, which is asked first
     * @param clock reads the clocks
     * @param random source of the order in which other holders are asked
     */
    public TokenTaker(
            CapBounds bounds,
            Holders holders,
            Predicate<SlotHolder> isSelf,
            Supplier<ClockReading> clock,
            RandomGenerator random) {
        this.bounds = bounds;
        this.holders = holders;
        this.isSelf = isSelf;
        this.clock = clock;
        this.random = random;
    }

    /** Replaces the table of slots. */
    public synchronized void updateTable(SlotTable newTable) {
        if (!newTable.equals(table)) {
            table = newTable;
            workspaces.values().forEach(tokens -> tokens.retain(newTable));
        }
    }

    /**
     * Takes the tokens of a request.
     *
     * @param workspace name of the workspace
     * @param share share of its cap that belongs to each slot
     * @param need tokens that the request counts
     */
    public Decision take(String workspace, CapShare share, long need) {
        if (!share.canServe(need)) {
            return new Decision.OverCap(bounds.windowMs());
        }
        List<SlotHolder> candidates;
        synchronized (this) {
            GrantedTokens tokens = tokens(workspace);
            ClockReading now = clock.get();
            tokens.recordUse(need, now);
            Optional<List<TokenBatch>> granted = tokens.take(need, now);
            if (granted.isPresent()) {
                return new Decision.Admitted(granted.get());
            }
            candidates = holdersOf(share);
        }
        return take(workspace, share, need, candidates);
    }

    /** Asks one holder after the other; one that was silent before only if no other one has answered. */
    private Decision take(String workspace, CapShare share, long need, List<SlotHolder> candidates) {
        Map<Boolean, List<SlotHolder>> bySilence =
                candidates.stream().collect(Collectors.partitioningBy(holder -> isSilent(workspace, holder)));
        List<SlotHolder> answering = bySilence.get(false);
        Decision decision = askEach(answering, workspace, share, need);
        if (decision instanceof Decision.Admitted) {
            return decision;
        }
        List<TokenBatch> gathered = gather(workspace, share, need, answering);
        if (!gathered.isEmpty()) {
            return new Decision.Admitted(gathered);
        }
        if (decision instanceof Decision.Unknown) {
            decision = askEach(bySilence.get(true), workspace, share, need);
        }
        return decision instanceof Decision.OverCap over
                ? new Decision.OverCap(
                        retryMs(workspace, share, need, candidates).orElse(over.retryMs()))
                : decision;
    }

    private synchronized boolean knownExhausted(SlotHolder holder, String workspace, CapShare share, long need) {
        return tokens(workspace).isExhausted(holder, need, share, clock.get());
    }

    /**
     * Asks holders that may have room until one gives the tokens, or until a few have told that they have none. Their
     * answers count, not what is remembered of these: a wait of a few milliseconds may be over before it is read again.
     */
    private Decision askEach(List<SlotHolder> asked, String workspace, CapShare share, long need) {
        int exhausted = 0;
        Decision decision = new Decision.Unknown();
        for (SlotHolder holder : asked) {
            if (knownExhausted(holder, workspace, share, need)) {
                decision = sooner(decision, known(holder, workspace, share, need));
            } else if (exhausted < MAX_EXHAUSTED) {
                Decision answer = ask(holder, workspace, share, need);
                if (answer instanceof Decision.Admitted) {
                    return answer;
                }
                exhausted += answer instanceof Decision.OverCap ? 1 : 0;
                decision = sooner(decision, answer);
            }
        }
        return decision;
    }

    /** Returns what is remembered of a holder that had no room a moment ago. */
    private Decision known(SlotHolder holder, String workspace, CapShare share, long need) {
        return new Decision.OverCap(
                retryMs(workspace, share, need, List.of(holder)).orElse(0));
    }

    /** Returns the one of two refusals that ends sooner; unknown ones tell no end. */
    private static Decision sooner(Decision one, Decision other) {
        if (one instanceof Decision.OverCap first && other instanceof Decision.OverCap second) {
            return first.retryMs() <= second.retryMs() ? first : second;
        }
        return one instanceof Decision.OverCap ? one : other;
    }

    /** Takes a need that no holder has alone from the few that have most of it, if these have enough together. */
    private List<TokenBatch> gather(String workspace, CapShare share, long need, List<SlotHolder> answering) {
        List<TokenBatch> taken = new ArrayList<>();
        long missing = need;
        for (GrantedTokens.Part part : parts(workspace, share, need, answering)) {
            if (!(ask(part.holder(), workspace, share, part.tokens()) instanceof Decision.Admitted admitted)) {
                break;
            }
            taken.addAll(admitted.batches());
            missing -= part.tokens();
        }
        if (missing > 0) {
            giveBack(workspace, taken);
            return List.of();
        }
        return taken;
    }

    private synchronized List<GrantedTokens.Part> parts(
            String workspace, CapShare share, long need, List<SlotHolder> answering) {
        return tokens(workspace).parts(answering, need, share, clock.get());
    }

    private synchronized boolean isSilent(String workspace, SlotHolder holder) {
        return tokens(workspace).isSilent(holder, clock.get());
    }

    private synchronized OptionalLong retryMs(
            String workspace, CapShare share, long need, List<SlotHolder> candidates) {
        return tokens(workspace).retryMs(candidates, need, share, clock.get());
    }

    /** Returns what would probably be decided about a request; takes no tokens and asks no holder. */
    public synchronized Outlook outlook(String workspace, CapShare share, long need) {
        if (!share.canServe(need)) {
            return new Outlook.Later(bounds.windowMs());
        }
        GrantedTokens tokens = workspaces.getOrDefault(workspace, new GrantedTokens(bounds));
        ClockReading now = clock.get();
        if (tokens.validTokens(now) >= need) {
            return new Outlook.Enough();
        }
        List<SlotHolder> candidates = holdersOf(share);
        OptionalLong retryMs = tokens.retryMs(candidates, need, share, now);
        int open = (int) candidates.stream()
                .filter(holder ->
                        tokens.retryMs(List.of(holder), need, share, now).isEmpty())
                .filter(holder -> retryMs.isEmpty() || !tokens.isSilent(holder, now))
                .count();
        if (open > 0) {
            return new Outlook.Asked(open);
        }
        return retryMs.isPresent() ? new Outlook.Later(retryMs.getAsLong()) : new Outlook.NoHolder();
    }

    /** Returns the processes that hold slots of the workspace, this one first and the others in random order. */
    private List<SlotHolder> holdersOf(CapShare share) {
        Map<String, SlotHolder> byNode = new HashMap<>();
        for (int slot : share.slots()) {
            SlotHolder holder = table.holders().get(slot);
            if (holder != null) {
                byNode.put(holder.node(), holder);
            }
        }
        List<SlotHolder> ordered = new ArrayList<>(byNode.values());
        Collections.shuffle(ordered, Random.from(random));
        ordered.sort((one, other) -> Boolean.compare(isSelf.test(other), isSelf.test(one)));
        return ordered;
    }

    /** Asks a holder; returns what it decides for the request. */
    private Decision ask(SlotHolder holder, String workspace, CapShare share, long need) {
        Question question;
        ClockReading asked;
        synchronized (this) {
            GrantedTokens tokens = tokens(workspace);
            asked = clock.get();
            question = new Question(workspace, share, need, tokens.ahead(need, asked), tokens.drainReturns(holder));
        }
        HeldSlots.Answer answer = holders.ask(holder, question);
        synchronized (this) {
            return apply(tokens(workspace), holder, share, need, answer, asked);
        }
    }

    private boolean hasSingleSlot(SlotHolder holder, CapShare share) {
        return share.slots().stream()
                        .map(table.holders()::get)
                        .filter(other -> other != null && other.isProcess(holder.node(), holder.startedMs()))
                        .count()
                <= 1;
    }

    private Decision apply(
            GrantedTokens tokens,
            SlotHolder holder,
            CapShare share,
            long need,
            HeldSlots.Answer answer,
            ClockReading asked) {
        ClockReading now = clock.get();
        switch (answer) {
            case HeldSlots.Answer.Granted granted -> {
                TokenBatch batch = granted.batch();
                if (!tokens.isValid(asked, now)) {
                    tokens.giveBack(batch);
                    return new Decision.Unknown();
                }
                tokens.recordTaken(holder, batch.tokens(), share, hasSingleSlot(holder, share));
                tokens.add(batch.withTokens(batch.tokens() - need), asked);
                return new Decision.Admitted(List.of(batch.withTokens(need)));
            }
            case HeldSlots.Answer.Exhausted exhausted -> {
                tokens.recordExhausted(holder, need, exhausted.retryMs(), now);
                return new Decision.OverCap(exhausted.retryMs());
            }
            case HeldSlots.Answer.NotHeld notHeld -> {
                tokens.recordSilent(holder, now);
                return new Decision.Unknown();
            }
        }
    }

    /** Gives back the tokens of a request that was not run. */
    public synchronized void giveBack(String workspace, List<TokenBatch> batches) {
        GrantedTokens tokens = tokens(workspace);
        batches.forEach(tokens::giveBack);
    }

    private GrantedTokens tokens(String workspace) {
        return workspaces.computeIfAbsent(workspace, name -> new GrantedTokens(bounds));
    }
}
