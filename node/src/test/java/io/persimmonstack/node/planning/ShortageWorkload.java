package io.persimmonstack.node.planning;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runners and requests of one deployment for {@link LoadShortageModel}; times in milliseconds.
 *
 * @param adapterSlots adapters that a runner can hold
 * @param memoryCopies models with a copy in the host memory of a runner
 * @param diskCopies models with a copy on the disk of a runner
 * @param fullSpeedStoreLoads loads that the weight store serves at once at full speed
 * @param runMs mean time for which a request runs
 * @param replaceMs time between two replacements of a runner by one without models and copies, 0 for none
 * @param slowLoads factor of the duration of loads from the weight store at every third runner
 */
record ShortageWorkload(
        int runners,
        int slots,
        int adapterSlots,
        double memoryMb,
        double smallMb,
        double largeMb,
        int memoryCopies,
        int diskCopies,
        long memoryLoadMs,
        long diskLoadMs,
        long storeLoadMs,
        int fullSpeedStoreLoads,
        long runMs,
        long replaceMs,
        double slowLoads,
        List<Group> groups) {
    /**
     * Requests of one kind.
     *
     * @param prefix prefix of the names of its models
     * @param models number of models
     * @param activeModels number of models that are requested at a time; a quarter of them changes each 20 s
     * @param adapters number of adapters of each model, 0 if its requests are for the model itself
     * @param perSecond requests a second for all of them together
     * @param targetMs target latency
     * @param limitMs time after which a request that waits is refused
     */
    record Group(
            String prefix, int models, int activeModels, int adapters, double perSecond, long targetMs, long limitMs) {}

    /** Returns the workload of deployment A: short loads, runners with room for two to five models. */
    static ShortageWorkload deploymentA() {
        return new ShortageWorkload(
                78,
                12,
                0,
                83_000,
                16_100,
                34_300,
                2,
                8,
                330,
                430,
                10_200,
                2,
                1_500,
                0,
                1,
                List.of(
                        new Group("frequent", 91, 37, 0, 196, 402, 10_000),
                        new Group("rare", 174, 174, 0, 66, 4_000, 17_000)));
    }

    /** Returns the workload of deployment B: long loads, runners with room for three models. */
    static ShortageWorkload deploymentB() {
        return new ShortageWorkload(
                42,
                24,
                0,
                230_000,
                65_100,
                72_700,
                2,
                11,
                600,
                1_250,
                13_200,
                1,
                1_500,
                0,
                1,
                List.of(
                        new Group("frequent", 20, 20, 0, 221, 302, 8_000),
                        new Group("rare", 171, 171, 0, 34, 3_000, 25_000)));
    }

    /** Returns the workload of a small deployment, most of whose requests are for adapters of a few models. */
    static ShortageWorkload smallWithAdapters() {
        return new ShortageWorkload(
                13,
                8,
                8,
                80_000,
                24_000,
                34_000,
                1,
                7,
                400,
                1_000,
                8_000,
                2,
                1_200,
                0,
                1,
                List.of(
                        new Group("tuned", 4, 4, 10, 40, 500, 10_000),
                        new Group("plain", 13, 13, 0, 14, 2_000, 15_000)));
    }

    /** Returns this workload with runners that are replaced, a third of which load slowly from the weight store. */
    ShortageWorkload withReplacedRunners(int storeLoadsAtFullSpeed) {
        return new ShortageWorkload(
                runners,
                slots,
                adapterSlots,
                memoryMb,
                smallMb,
                largeMb,
                memoryCopies,
                diskCopies,
                memoryLoadMs,
                diskLoadMs,
                storeLoadMs,
                storeLoadsAtFullSpeed,
                runMs,
                12_000,
                1.6,
                groups);
    }

    /**
     * Prints the outcome of each deployment, 100 s of warm-up not counted.
     *
     * @param args simulated seconds, the seed, and the deployment (A, B, small, replaced or fast-store) if not all
     */
    public static void main(String[] args) {
        long warmUpMs = TimeUnit.SECONDS.toMillis(100);
        long seconds = args.length > 0 ? Long.parseLong(args[0]) : 160;
        long seed = args.length > 1 ? Long.parseLong(args[1]) : 11;
        String only = args.length > 2 ? args[2] : "";
        for (String name : List.of("A", "B", "small", "replaced", "fast-store")) {
            if (only.isEmpty() || only.equals(name)) {
                LoadShortageModel model = new LoadShortageModel(named(name), warmUpMs, seed);
                model.run(TimeUnit.SECONDS.toMillis(seconds));
                System.out.println(name + ", seed " + seed + ": " + model);
            }
        }
    }

    private static ShortageWorkload named(String name) {
        return switch (name) {
            case "A" -> deploymentA();
            case "B" -> deploymentB();
            case "small" -> smallWithAdapters();
            case "replaced" -> smallWithAdapters().withReplacedRunners(2);
            default -> smallWithAdapters().withReplacedRunners(6);
        };
    }
}
