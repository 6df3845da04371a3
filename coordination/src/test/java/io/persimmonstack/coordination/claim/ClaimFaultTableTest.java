package io.persimmonstack.coordination.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.persimmonstack.coordination.kv.FakeCodec;
import io.persimmonstack.coordination.kv.FaultyKvStore;
import io.persimmonstack.coordination.kv.FaultyKvStore.Fault;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.time.FakeTime;
import io.persimmonstack.coordination.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Two writers claim the same key, and the first is interrupted. Combines what the first writer knows of the log, the
 * event that interrupts it, a fault of its first write, and the call to the key-value service before which the event
 * happens. At most one of the two claims may be granted.
 */
class ClaimFaultTableTest {
    private static final Duration RETENTION = Duration.ofSeconds(60);
    private static final long CLAIM_TIMEOUT_MS = 1_000;
    private static final String KEY = "key";

    private final InMemoryKvStore store = InMemoryKvStore.create();
    private final FakeCodec<ClaimSegment> codec = new FakeCodec<>();
    private final FaultyKvStore firstStore = new FaultyKvStore(store);
    private final ClaimShard first = writer("first", firstStore);
    private final ClaimShard second = writer("second", new FaultyKvStore(store));
    private Optional<CompletableFuture<ClaimResult>> competingResult = Optional.empty();
    private Event event;
    private long nowMs;
    private long nextBatchId;
    private int callsUntilEvent;
    private boolean firstWriterRunning;

    /** Part of the log that the first writer has loaded when it receives the claim. */
    enum Knowledge {
        /** It has not read the log. */
        NOTHING,
        /** It knows every segment. */
        ALL,
        /** It knows every segment but the last, which the second writer wrote. */
        ALL_BUT_THE_LAST
    }

    /** Event that interrupts the first writer. */
    enum Event {
        /** The first writer is paused, the second claims the key, and the first resumes. */
        PAUSED,
        /** The first writer's process is killed, and the second claims the key. */
        KILLED,
        /** The first writer is paused past the deadline, the second claims the key, and the first resumes. */
        PAUSED_PAST_THE_DEADLINE,
        /**
         * The first writer is paused past the retention, the second trims the log and claims the key, the first
         * resumes.
         */
        PAUSED_PAST_THE_RETENTION
    }

    /** Simulates the death of the first writer's process. */
    private static final class ProcessKilled extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /**
     * The last column has one character for each call before which the event happens: 1 if the first writer's claimant
     * got the key, 2 if the second's did, - if neither did.
     */
    @ParameterizedTest(name = "log known: {0}, event: {1}, fault of the first write: {2}")
    @CsvSource({
        "NOTHING, PAUSED, , 2221",
        "NOTHING, KILLED, , 222-",
        "NOTHING, PAUSED_PAST_THE_DEADLINE, , 222-",
        "NOTHING, PAUSED_PAST_THE_RETENTION, , 222-",
        "ALL, PAUSED, , 21",
        "ALL, KILLED, , 2-",
        "ALL, PAUSED_PAST_THE_DEADLINE, , 2-",
        "ALL, PAUSED_PAST_THE_RETENTION, , 2-",
        "ALL_BUT_THE_LAST, PAUSED, , 2221",
        "ALL_BUT_THE_LAST, KILLED, , 222-",
        "ALL_BUT_THE_LAST, PAUSED_PAST_THE_DEADLINE, , 222-",
        "ALL_BUT_THE_LAST, PAUSED_PAST_THE_RETENTION, , 222-",
        "ALL, PAUSED, REFUSED, 21",
        "ALL, PAUSED, REPLY_LOST, 211",
        "ALL, PAUSED, LATE, 21",
        "ALL, PAUSED_PAST_THE_RETENTION, REPLY_LOST, 2--",
        "ALL, PAUSED_PAST_THE_RETENTION, LATE, 2-",
        "ALL_BUT_THE_LAST, PAUSED, REPLY_LOST, 22221",
        "ALL_BUT_THE_LAST, PAUSED, LATE, 2221",
    })
    void atMostOneClaimantGetsTheKey(
            Knowledge knowledge, Event eventKind, Fault firstWriteFault, String expectedHolders) throws KvException {
        StringBuilder holders = new StringBuilder();
        Optional<Character> holder = Optional.of(' ');
        for (int callsBeforeEvent = 0; holder.isPresent(); callsBeforeEvent++) {
            holder = new ClaimFaultTableTest()
                    .runScenario(knowledge, eventKind, Optional.ofNullable(firstWriteFault), callsBeforeEvent);
            holder.ifPresent(holders::append);
        }
        assertEquals(expectedHolders, holders.toString());
    }

    /** Returns who got the key, or empty if the first writer makes fewer calls before its claim is answered. */
    private Optional<Character> runScenario(
            Knowledge knowledge, Event eventKind, Optional<Fault> fault, int callsBeforeEvent) throws KvException {
        event = eventKind;
        prepare(knowledge);
        callsUntilEvent = callsBeforeEvent;
        store.intercept((call, key) -> beforeFirstWriterCall());
        fault.ifPresent(kind -> firstStore.failAfter(0, kind));
        CompletableFuture<ClaimResult> firstResult = first.submit(claim("first"), CLAIM_TIMEOUT_MS);
        boolean killed = !flushFirstWriter();
        if (fault.isPresent() && !killed) {
            firstStore.heal();
            killed = !flushFirstWriter();
        }
        firstStore.deliverLate();
        if (callsUntilEvent >= 0) {
            return Optional.empty();
        }
        boolean firstClaimed = !killed && isClaimed(firstResult);
        boolean secondClaimed =
                competingResult.filter(ClaimFaultTableTest::isClaimed).isPresent();
        assertFalse(firstClaimed && secondClaimed, "both claimants got the key");
        return Optional.of(firstClaimed ? '1' : secondClaimed ? '2' : '-');
    }

    private void prepare(Knowledge knowledge) {
        if (knowledge != Knowledge.NOTHING) {
            first.submit(Claim.of("warm-up", "first", "print", 0), CLAIM_TIMEOUT_MS);
            first.flush();
        }
        if (knowledge != Knowledge.ALL) {
            second.submit(Claim.of("earlier", "second", "print", 0), CLAIM_TIMEOUT_MS);
            second.flush();
        }
    }

    /** Flushes the first writer; returns whether its process survived. */
    private boolean flushFirstWriter() {
        firstWriterRunning = true;
        try {
            first.flush();
            return true;
        } catch (ProcessKilled e) {
            return false;
        } finally {
            firstWriterRunning = false;
        }
    }

    /** Runs before each call of the first writer and triggers the event before the chosen one. */
    private void beforeFirstWriterCall() throws KvException {
        if (!firstWriterRunning || callsUntilEvent-- != 0) {
            return;
        }
        firstWriterRunning = false;
        nowMs += switch (event) {
            case PAUSED, KILLED -> 0;
            case PAUSED_PAST_THE_DEADLINE -> CLAIM_TIMEOUT_MS;
            case PAUSED_PAST_THE_RETENTION -> RETENTION.toMillis();
        };
        if (event == Event.PAUSED_PAST_THE_RETENTION) {
            second.trim();
        }
        competingResult = Optional.of(second.submit(claim("second"), CLAIM_TIMEOUT_MS));
        second.flush();
        if (event == Event.KILLED) {
            throw new ProcessKilled();
        }
        firstWriterRunning = true;
    }

    private static boolean isClaimed(CompletableFuture<ClaimResult> answer) {
        return answer.isDone() && answer.join() instanceof ClaimResult.Claimed;
    }

    private static Claim claim(String claimant) {
        return Claim.of(KEY, claimant, "print", 0);
    }

    private ClaimShard writer(String name, FaultyKvStore writerStore) {
        TimeSource time = FakeTime.ofMillis(() -> nowMs);
        return ClaimShard.create(
                0, name, writerStore, codec, ClaimShardOptions.of(time, () -> "batch-" + nextBatchId++, RETENTION));
    }
}
