package io.persimmonstack.node.planning;

/** What became of the simulated requests of one kind. Not thread-safe. */
final class ShortageOutcome {
    private int arrived;
    private int inTarget;
    private int late;
    private int refused;
    private double waitedMs;

    void countArrival() {
        arrived++;
    }

    /** Counts the end of the wait of a request, which was then served or refused. */
    void countEnd(long requestWaitedMs, long targetMs, boolean served) {
        waitedMs += requestWaitedMs;
        inTarget += served && requestWaitedMs <= targetMs ? 1 : 0;
        late += served && requestWaitedMs > targetMs ? 1 : 0;
        refused += served ? 0 : 1;
    }

    double inTargetShare() {
        return share(inTarget);
    }

    /** Returns the share of the requests that were served after their target. */
    double lateShare() {
        return share(late);
    }

    double refusedShare() {
        return share(refused);
    }

    double meanWaitMs() {
        return waitedMs / Math.max(1, arrived);
    }

    private double share(int count) {
        return (double) count / Math.max(1, arrived);
    }

    @Override
    public String toString() {
        return "%d requests: %.3f within target, %.3f late, %.3f refused, mean wait %.0f ms"
                .formatted(arrived, inTargetShare(), lateShare(), refusedShare(), meanWaitMs());
    }
}
