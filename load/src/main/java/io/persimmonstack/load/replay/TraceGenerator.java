package io.persimmonstack.load.replay;

import io.persimmonstack.coordination.policy.ModelCost;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Generates demand from a seed: sessions of requests with Zipf-distributed popularity and less load at night. A session
 * starts with a burst, as if sent to many routers at once. Some models also have a session at a fixed time of day. The
 * popularity of the models changes half way through the trace.
 */
final class TraceGenerator {
    private static final long HOUR_MS = 3_600_000;
    private static final long DAY_MS = 24 * HOUR_MS;
    private static final double ZIPF_EXPONENT = 1.0;
    /** Share of the models that have a session at a fixed time of day. */
    private static final double DAILY_MODEL_SHARE = 0.3;
    /** Probability that such a session does not take place on a day. */
    private static final double DAILY_SKIP_PROBABILITY = 0.1;

    private static final long DAILY_JITTER_STDDEV_MS = 240_000;
    /** Rate of sessions at night relative to the day. */
    private static final double NIGHT_RATE_FACTOR = 0.08;

    private static final int DAY_START_HOUR = 7;
    private static final int DAY_END_HOUR = 19;
    private static final double MEAN_FOLLOW_UPS_PER_SESSION = 15;
    private static final double MEAN_FOLLOW_UP_SPACING_MS = 25_000;
    private static final int MAX_BURST_REQUESTS = 8;
    private static final double MAX_BURST_SPREAD_MS = 800;
    private static final double MEAN_DURATION_MS = 4_000;
    /** Numbers of accelerators of a model; each entry is equally likely. */
    private static final int[] ACCELERATOR_CHOICES = {1, 1, 1, 2, 2, 4};

    private static final long LOAD_MS_PER_ACCELERATOR = 18_000;

    private final Fleet fleet;
    private final RandomGenerator random;

    private TraceGenerator(Fleet fleet, RandomGenerator random) {
        this.fleet = fleet;
        this.random = random;
    }

    /** Generates the trace of a fleet; the same fleet and seed give the same trace. */
    static Trace generate(Fleet fleet, long seed) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        return new TraceGenerator(fleet, random).generate();
    }

    private Trace generate() {
        List<ReplayModel> models = new ArrayList<>();
        List<Arrival> arrivals = new ArrayList<>();
        double popularitySum = 0;
        for (int rank = 1; rank <= fleet.models(); rank++) {
            popularitySum += popularity(rank);
        }
        for (int modelIndex = 0; modelIndex < fleet.models(); modelIndex++) {
            models.add(createModel(modelIndex));
            addSessions(arrivals, modelIndex, popularitySum);
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atMs).thenComparingInt(Arrival::modelIndex));
        return new Trace(fleet, List.copyOf(models), List.copyOf(arrivals));
    }

    private ReplayModel createModel(int index) {
        int accelerators = ACCELERATOR_CHOICES[random.nextInt(ACCELERATOR_CHOICES.length)];
        long loadMs = LOAD_MS_PER_ACCELERATOR * accelerators;
        return new ReplayModel("model-" + index, new ModelCost(accelerators, loadMs, fleet.coldStartWeight()));
    }

    /** Adds all sessions of one model; its popularity rank changes half way through the trace. */
    private void addSessions(List<Arrival> arrivals, int modelIndex, double popularitySum) {
        boolean hasDailySession = random.nextDouble() < DAILY_MODEL_SHARE;
        long dailyOffsetMs = (DAY_START_HOUR * HOUR_MS) + (long) (random.nextDouble() * 4 * HOUR_MS);
        int secondHalfRank = 1 + random.nextInt(fleet.models());
        for (int day = 0; day < fleet.days(); day++) {
            if (hasDailySession && random.nextDouble() >= DAILY_SKIP_PROBABILITY) {
                long jitterMs = (long) (random.nextGaussian() * DAILY_JITTER_STDDEV_MS);
                addSession(arrivals, modelIndex, day * DAY_MS + dailyOffsetMs + jitterMs);
            }
            int rank = day < fleet.days() / 2 ? modelIndex + 1 : secondHalfRank;
            addDaySessions(
                    arrivals, modelIndex, day * DAY_MS, popularity(rank) / popularitySum * fleet.sessionsPerHour());
        }
    }

    /**
     * Adds the sessions of one day as a Poisson process with the given hourly rate during the day and less at night.
     */
    private void addDaySessions(List<Arrival> arrivals, int modelIndex, long dayStartMs, double daytimeHourlyRate) {
        for (int hour = 0; hour < 24; hour++) {
            double hourlyRate =
                    daytimeHourlyRate * (hour >= DAY_START_HOUR && hour < DAY_END_HOUR ? 1 : NIGHT_RATE_FACTOR);
            double nextMs = exponential(HOUR_MS / hourlyRate);
            while (nextMs < HOUR_MS) {
                addSession(arrivals, modelIndex, dayStartMs + hour * HOUR_MS + (long) nextMs);
                nextMs += exponential(HOUR_MS / hourlyRate);
            }
        }
    }

    /** Adds one session: a burst, then requests at random intervals. */
    private void addSession(List<Arrival> arrivals, int modelIndex, long startMs) {
        int burst = 1 + random.nextInt(MAX_BURST_REQUESTS);
        for (int i = 0; i < burst; i++) {
            addArrival(arrivals, modelIndex, startMs + (long) (random.nextDouble() * MAX_BURST_SPREAD_MS));
        }
        int followUps = (int) exponential(MEAN_FOLLOW_UPS_PER_SESSION);
        double atMs = startMs;
        for (int i = 0; i < followUps; i++) {
            atMs += exponential(MEAN_FOLLOW_UP_SPACING_MS);
            addArrival(arrivals, modelIndex, (long) atMs);
        }
    }

    private void addArrival(List<Arrival> arrivals, int modelIndex, long atMs) {
        arrivals.add(new Arrival(Math.max(0, atMs), modelIndex, 1 + (long) exponential(MEAN_DURATION_MS)));
    }

    /** Draws from the exponential distribution with the given mean. */
    private double exponential(double mean) {
        return -mean * Math.log(1 - random.nextDouble());
    }

    /** Returns the Zipf weight, not normalised, of the model with the given popularity rank, from 1. */
    private static double popularity(int rank) {
        return Math.pow(rank, -ZIPF_EXPONENT);
    }
}
