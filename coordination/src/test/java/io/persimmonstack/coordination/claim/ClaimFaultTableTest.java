package io.persimmonstack.coordination.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.persimmonstack.coordination.kv.FakeCodec;
import io.persimmonstack.coordination.kv.FaultyKvStore;
import io.persimmonstack.coordination.kv.FaultyKvStore.Fault;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * What the writer of a claim knows × what happens to it × what the other writer does meanwhile × moment, before each of
 * the claim's calls to the key-value service. The other writer claims the same key. At most one of both gets it.
 */
class ClaimFaultTableTest {
    private static final Duration RETENTION = Duration.ofSeconds(60);
    private static final long WAIT_MS = 1_000;
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

    /** What the first writer knows of the log when it gets the claim. */
    enum Knowledge {
        NOTHING,
        ALL,
        ALL_BUT_THE_LAST
    }

    /** What happens at the moment. */
    enum Event {
        /** The first writer is paused, the other claims, the first wakes. */
        PAUSED,
        /** The first writer's process ends, and the other claims. */
        KILLED,
        /** The first writer is paused past the deadline; the other claims, and the first wakes. */
        PAUSED_PAST_THE_DEADLINE,
        /** The first writer is paused past the retention; the other trims the log and claims, and the first wakes. */
        PAUSED_PAST_THE_RETENTION
    }

    /** The first writer's process has ended. */
    private static final class ProcessKilled extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** Who got the key, by moment: 1 the first writer's claimant, 2 the other's, - neither. */
    @ParameterizedTest(name = "knows {0}, {1}, first write {2}")
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
    void atMostOneClaimantGetsTheKey(Knowledge knowledge, Event eventKind, Fault firstWriteFault, String expectedHolders) throws KvException {
        StringBuilder holders = new StringBuilder();
        Optional<Character> holder = Optional.of(' ');
        for (int callsBeforeEvent = 0; holder.isPresent(); callsBeforeEvent++) {
            holder = new ClaimFaultTableTest().runScenario(knowledge, eventKind, Optional.ofNullable(firstWriteFault), callsBeforeEvent);
            holder.ifPresent(holders::append);
        }
        assertEquals(expectedHolders, holders.toString());
    }

    /** Returns who got the key, or empty where the claim has fewer moments. */
    private Optional<Character> runScenario(Knowledge knowledge, Event eventKind, Optional<Fault> fault, int callsBeforeEvent)
            throws KvException {
        event = eventKind;
        prepare(knowledge);
        callsUntilEvent = callsBeforeEvent;
        store.intercept((call, key) -> beforeFirstWriterCall());
        fault.ifPresent(kind -> firstStore.failAfter(0, kind));
        CompletableFuture<ClaimResult> firstResult = first.submit(claim("first"), WAIT_MS);
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
        boolean secondClaimed = competingResult.filter(ClaimFaultTableTest::isClaimed).isPresent();
        assertFalse(firstClaimed && secondClaimed, "both got the key");
        return Optional.of(firstClaimed ? '1' : secondClaimed ? '2' : '-');
    }

    private void prepare(Knowledge knowledge) {
        if (knowledge != Knowledge.NOTHING) {
            first.submit(Claim.of("warm-up", "first", "print", 0), WAIT_MS);
            first.flush();
        }
        if (knowledge != Knowledge.ALL) {
            second.submit(Claim.of("earlier", "second", "print", 0), WAIT_MS);
            second.flush();
        }
    }

    /** Lets the first writer run; returns whether its process still exists. */
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

    /** Passes one moment of the first writer; at the chosen one the event happens. */
    private void beforeFirstWriterCall() throws KvException {
        if (!firstWriterRunning || callsUntilEvent-- != 0) {
            return;
        }
        firstWriterRunning = false;
        nowMs += switch (event) {
            case PAUSED, KILLED -> 0;
            case PAUSED_PAST_THE_DEADLINE -> WAIT_MS;
            case PAUSED_PAST_THE_RETENTION -> RETENTION.toMillis();
        };
        if (event == Event.PAUSED_PAST_THE_RETENTION) {
            second.trim();
        }
        competingResult = Optional.of(second.submit(claim("second"), WAIT_MS));
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
        TimeSource time = new TimeSource() {
            @Override
            public long nanoTime() {
                return Duration.ofMillis(nowMs).toNanos();
            }

            @Override
            public long currentTimeMillis() {
                return nowMs;
            }
        };
        return ClaimShard.create(
                0, name, writerStore, codec, ClaimShardOptions.of(time, () -> "batch-" + nextBatchId++, RETENTION));
    }
}
