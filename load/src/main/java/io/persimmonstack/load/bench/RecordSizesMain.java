package io.persimmonstack.load.bench;

import io.persimmonstack.configuration.ConfigurationCodec;
import io.persimmonstack.configuration.ConfigurationException;
import io.persimmonstack.configuration.Deployment;
import io.persimmonstack.configuration.FleetConfiguration;
import io.persimmonstack.coordination.kv.KvCorruptException;
import io.persimmonstack.wire.codec.ThriftBytes;
import io.persimmonstack.wire.gen.ClaimRecord;
import io.persimmonstack.wire.gen.ClaimSegment;
import io.persimmonstack.wire.gen.LoadState;
import io.persimmonstack.wire.gen.LoadedModel;
import io.persimmonstack.wire.gen.Member;
import io.persimmonstack.wire.gen.MemberStatus;
import io.persimmonstack.wire.gen.ModelRecord;
import io.persimmonstack.wire.gen.RouterState;
import io.persimmonstack.wire.gen.RunnerRecord;
import io.persimmonstack.wire.gen.RunnerStatus;
import io.persimmonstack.wire.gen.SlotEntry;
import io.persimmonstack.wire.gen.Snapshot;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.apache.thrift.TBase;

/**
 * Prints the encoded size of each record, and the time to encode and decode a snapshot of a fleet of the size that the
 * system is designed for.
 */
public final class RecordSizesMain {
    private static final int MEMBERS = 370;
    private static final int RUNNERS = 840;
    private static final int MODELS = 160;
    private static final int ADAPTERS = 1_600;
    private static final int WARM_UP_ROUNDS = 300;
    private static final int ROUNDS = 200;
    private static final long NOW_MS = 1_796_338_000_000L;

    private RecordSizesMain() {}

    /**
     * Prints all sizes and times.
     *
     * @param arguments none
     * @throws ConfigurationException if a configuration cannot be encoded
     * @throws KvCorruptException if a record cannot be decoded
     */
    public static void main(String[] arguments) throws ConfigurationException, KvCorruptException {
        printSize("member", encodedSize(member(1)));
        printSize("runner status, 4 slots, 2 models loaded", encodedSize(runnerStatus(1)));
        printSize("model record, 4 slots", encodedSize(modelRecord()));
        printSize("runner record, 8 slots", encodedSize(runnerRecord()));
        printSize("claim", encodedSize(claimSegment(101)) - encodedSize(claimSegment(100)));
        printSize("claim segment of 100", encodedSize(claimSegment(100)));
        printSize("configuration, 160 models, 1,600 adapters", ConfigurationCodec.encode(configuration()).length);
        Snapshot snapshot = snapshot();
        printSize("snapshot, 370 members, 840 runners", encodedSize(snapshot));
        System.out.printf(Locale.ROOT, "%-46s %10.2f ms%n", "encode that snapshot", encodeMs(snapshot));
        System.out.printf(Locale.ROOT, "%-46s %10.2f ms%n", "decode that snapshot", decodeMs(snapshot));
    }

    private static void printSize(String name, int bytes) {
        System.out.printf(Locale.ROOT, "%-46s %,10d bytes%n", name, bytes);
    }

    private static int encodedSize(TBase<?, ?> struct) {
        return ThriftBytes.encode(struct).length;
    }

    private static Member member(int index) {
        return new Member(
                "node-" + index,
                NOW_MS,
                17,
                MemberStatus.ALIVE,
                "zone-" + index % 9,
                "region-" + index % 3,
                "10.20.30." + index % 250 + ":7400",
                RouterState.SERVING,
                "10.20.30." + index % 250 + ":7500",
                "10.20.30." + index % 250 + ":7600",
                3_400,
                NOW_MS);
    }

    private static RunnerStatus runnerStatus(int index) {
        List<String> slots =
                IntStream.range(0, 4).mapToObj(slot -> model(index + slot)).toList();
        RunnerStatus status = new RunnerStatus(
                "runner-" + index,
                "10.20.40." + index % 250 + ":8000",
                "zone-" + index % 9,
                "region-" + index % 3,
                "node-" + index % MEMBERS,
                NOW_MS,
                12,
                345,
                640_000_000_000L,
                slots,
                List.of(loadedModel(index), loadedModel(index + 1)),
                false,
                true,
                32);
        status.setUsedBytes(320_000_000_000L);
        status.setCachedOnDisk(slots);
        return status;
    }

    private static LoadedModel loadedModel(int index) {
        return new LoadedModel(model(index), LoadState.LOADED, 160_000_000_000L, List.of("adapter-a", "adapter-b"));
    }

    private static String model(int index) {
        return "deduction-summary-" + index % MODELS + "@2026-11";
    }

    private static ModelRecord modelRecord() {
        List<SlotEntry> entries = IntStream.range(0, 4)
                .mapToObj(index -> new SlotEntry("runner-" + index, "2026-11", 12))
                .toList();
        return new ModelRecord("deduction-summary-1", entries, 4, 3_400);
    }

    private static RunnerRecord runnerRecord() {
        List<String> slots =
                IntStream.range(0, 8).mapToObj(RecordSizesMain::model).toList();
        return new RunnerRecord("runner-17", "node-17", NOW_MS, 12, slots, false);
    }

    private static ClaimSegment claimSegment(int claims) {
        ClaimRecord claim = new ClaimRecord(
                "deposit-desk/3f1c9a52-8a55-4b7e-9d0e-2f6f2a1b7c11",
                "node-17/1796338000000/123456",
                "b94d27b9934d3e08a52e52d7da7dabfac484efe37a5380ee9088f7ace2efcde9",
                NOW_MS);
        List<ClaimRecord> records = Collections.nCopies(claims, claim);
        return new ClaimSegment(3, 123_456, "node-17", "3f1c9a52-8a55-4b7e-9d0e-2f6f2a1b7c11", records);
    }

    private static FleetConfiguration configuration() {
        List<Deployment> deployments =
                IntStream.range(0, MODELS).mapToObj(RecordSizesMain::deployment).toList();
        return new FleetConfiguration(3_400, deployments, List.of(), List.of());
    }

    private static Deployment deployment(int index) {
        List<String> adapters = IntStream.range(0, ADAPTERS / MODELS)
                .mapToObj(adapter -> "adapter-" + index + "-" + adapter)
                .toList();
        return new Deployment(
                "deposit-desk-" + index,
                "deduction-summary-" + index,
                List.of("2026-11"),
                adapters,
                List.of("deposit-desk", "mediation"),
                3,
                4,
                0,
                60,
                30_000);
    }

    private static Snapshot snapshot() {
        List<Member> members =
                IntStream.range(0, MEMBERS).mapToObj(RecordSizesMain::member).toList();
        List<RunnerStatus> runners = IntStream.range(0, RUNNERS)
                .mapToObj(RecordSizesMain::runnerStatus)
                .toList();
        return new Snapshot(99, "node-1", NOW_MS, 3_400, members, runners, List.of());
    }

    /** Returns the mean time to encode the snapshot, in milliseconds, after warm-up rounds for the JIT compiler. */
    private static double encodeMs(Snapshot snapshot) {
        long startNanos = 0;
        for (int round = -WARM_UP_ROUNDS; round < ROUNDS; round++) {
            startNanos = round == 0 ? System.nanoTime() : startNanos;
            ThriftBytes.encode(snapshot);
        }
        return (System.nanoTime() - startNanos) / 1e6 / ROUNDS;
    }

    /** Returns the mean time to decode the snapshot, in milliseconds, after warm-up rounds for the JIT compiler. */
    private static double decodeMs(Snapshot snapshot) throws KvCorruptException {
        byte[] bytes = ThriftBytes.encode(snapshot);
        long startNanos = 0;
        for (int round = -WARM_UP_ROUNDS; round < ROUNDS; round++) {
            startNanos = round == 0 ? System.nanoTime() : startNanos;
            ThriftBytes.decode(bytes, new Snapshot());
        }
        return (System.nanoTime() - startNanos) / 1e6 / ROUNDS;
    }
}
