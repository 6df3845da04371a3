package io.persimmonstack.node;

import io.persimmonstack.node.placing.Placer;
import io.persimmonstack.node.placing.ZoneCause;
import io.persimmonstack.node.placing.ZoneListener;
import io.persimmonstack.runtime.event.EventLog;

/** Counts and logs the decisions about requests and availability zones. */
final class ZoneReporter implements ZoneListener {
    private static final RateLimitedLog LOG = RateLimitedLog.wrapping(EventLog.of(Placer.class));
    private final NodeMetrics metrics;

    private ZoneReporter(NodeMetrics metrics) {
        this.metrics = metrics;
    }

    static ZoneReporter of(NodeMetrics metrics) {
        return new ZoneReporter(metrics);
    }

    @Override
    public void placed(ZoneCause cause) {
        metrics.recordZone(cause.metric());
    }

    @Override
    public void shareChanged(String service, double share, double homeUtilisation, double awayUtilisation) {
        LOG.write(NodeEvent.ZONE_SHARE, service, share, homeUtilisation, awayUtilisation);
    }

    @Override
    public void linkChanged(String zone, boolean cut) {
        LOG.write(NodeEvent.ZONE_LINK, zone, cut);
    }
}
