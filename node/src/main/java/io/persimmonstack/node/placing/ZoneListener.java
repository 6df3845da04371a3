package io.persimmonstack.node.placing;

/** Receives what is decided about requests and availability zones. Called under a lock; must not block. */
public interface ZoneListener {
    /** A request was assigned to a runner. */
    void placed(ZoneCause cause);

    /**
     * The share of the requests for a service that this node sends to other zones has changed.
     *
     * @param service name of the service
     * @param share new share, from 0 to 1
     * @param homeUtilisation requests in progress and waiting for each place in the zone of the node
     * @param awayUtilisation requests in progress for each place in the other zones
     */
    void shareChanged(String service, double share, double homeUtilisation, double awayUtilisation);

    /** Requests are sent to another zone no longer, since connections there fail, or are again. */
    void linkChanged(String zone, boolean cut);

    /** Returns a listener that does nothing. */
    static ZoneListener none() {
        return new ZoneListener() {
            @Override
            public void placed(ZoneCause cause) {}

            @Override
            public void shareChanged(String service, double share, double homeUtilisation, double awayUtilisation) {}

            @Override
            public void linkChanged(String zone, boolean cut) {}
        };
    }
}
