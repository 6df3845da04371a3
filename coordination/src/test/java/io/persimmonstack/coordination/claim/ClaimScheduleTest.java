package io.persimmonstack.coordination.claim;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.persimmonstack.coordination.kv.FakeCodec;
import io.persimmonstack.coordination.kv.FaultyKvStore;
import io.persimmonstack.coordination.kv.FaultyKvStore.Fault;
import io.persimmonstack.coordination.kv.InMemoryKvStore;
import io.persimmonstack.coordination.kv.KvException;
import io.persimmonstack.coordination.time.FakeTime;
import io.persimmonstack.coordination.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/** At most one claimant gets a key, with three writers and random faults, pauses, restarts and retention. */
class ClaimScheduleTest {
    private static final Duration RETENTION = Duration.ofSeconds(60);
    private static final long CLAIM_TIMEOUT_MS = 3_000;
    private static final int WRITER_COUNT = 3;
    private static final int STEP_COUNT = 200;
    private static final int KEYS_PER_PERIOD = 3;

    private final InMemoryKvStore store = InMemoryKvStore.create();
    private final FakeCodec<ClaimSegment> codec = new FakeCodec<>();
    private final List<FaultyKvStore> stores =
            Stream.generate(() -> new FaultyKvStore(store)).limit(WRITER_COUNT).toList();
    private final List<ClaimShard> writers = new ArrayList<>();
    private final List<PendingClaim> pendingClaims = new ArrayList<>();
    private final Map<String, Set<String>> claimantsByKey = new HashMap<>();
    private long nowMs;
    private long nextBatchId;
    private int grantedClaims;

    private record PendingClaim(Claim claim, long deadlineMs, CompletableFuture<ClaimResult> answer) {}

    @Property(tries = 400, seed = "20261203", shrinking = ShrinkingMode.OFF)
    void keyHasAtMostOneClaimant(@ForAll long schedule) throws KvException {
        ClaimScheduleTest run = new ClaimScheduleTest();
        run.start();
        Random random = new Random(schedule);
        for (int i = 0; i < STEP_COUNT; i++) {
            run.step(random);
        }
        run.finish();
    }

    private void start() {
        for (int i = 0; i < WRITER_COUNT; i++) {
            writers.add(writer(i));
        }
    }

    private void step(Random random) throws KvException {
        int index = random.nextInt(WRITER_COUNT);
        switch (random.nextInt(12)) {
            case 0, 1, 2, 3 -> submit(random, index);
            case 4, 5, 6 -> writers.get(index).flush();
            case 7 -> trim(index);
            case 8 -> nowMs += random.nextInt(5) == 0 ? RETENTION.toMillis() : random.nextInt(1_000);
            case 9 -> stores.get(index).failAfter(random.nextInt(2), Fault.values()[random.nextInt(3)]);
            case 10 -> stores.get(index).heal();
            default -> {
                if (random.nextInt(4) == 0) {
                    writers.set(index, writer(index));
                }
                stores.get(random.nextInt(WRITER_COUNT)).deliverLate();
            }
        }
        checkCompletedClaims();
    }

    /** Heals all stores, flushes every writer once and checks the claims that are complete by then. */
    private void finish() {
        nowMs += CLAIM_TIMEOUT_MS;
        for (int i = 0; i < WRITER_COUNT; i++) {
            stores.get(i).heal();
            writers.get(i).flush();
        }
        checkCompletedClaims();
        assertTrue(grantedClaims > 0, "expected at least one granted claim");
    }

    /**
     * Submits a random claim. Keys change after half the retention, since callers must not reuse a key after the
     * retention.
     */
    private void submit(Random random, int index) {
        long keyPeriod = nowMs / (RETENTION.toMillis() / 2);
        String key = "key-" + keyPeriod + "-" + random.nextInt(KEYS_PER_PERIOD);
        Claim claim = Claim.of(key, "claimant-" + random.nextInt(4), "print", nowMs);
        pendingClaims.add(new PendingClaim(
                claim, nowMs + CLAIM_TIMEOUT_MS, writers.get(index).submit(claim, CLAIM_TIMEOUT_MS)));
    }

    private void trim(int index) {
        try {
            writers.get(index).trim();
        } catch (KvException e) {
            // A later step trims the log again.
        }
    }

    private void checkCompletedClaims() {
        for (PendingClaim pending : List.copyOf(pendingClaims)) {
            if (pending.answer().isDone()) {
                pendingClaims.remove(pending);
                checkSingleClaimant(pending);
            }
        }
    }

    private void checkSingleClaimant(PendingClaim pending) {
        if (pending.answer().join() instanceof ClaimResult.Claimed && nowMs < pending.deadlineMs()) {
            grantedClaims++;
            String key = pending.claim().key();
            Set<String> claimants = claimantsByKey.computeIfAbsent(key, name -> new HashSet<>());
            claimants.add(pending.claim().claimant());
            assertTrue(claimants.size() == 1, () -> key + " was claimed by " + claimants);
        }
    }

    private ClaimShard writer(int index) {
        TimeSource time = FakeTime.ofMillis(() -> nowMs);
        ClaimShardOptions options = ClaimShardOptions.of(time, () -> "batch-" + nextBatchId++, RETENTION);
        return ClaimShard.create(0, "writer-" + index, stores.get(index), codec, options);
    }
}
