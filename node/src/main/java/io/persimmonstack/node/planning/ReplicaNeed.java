package io.persimmonstack.node.planning;

/**
 * Need of a model for another replica.
 *
 * @param demand demand for the model
 * @param cold whether no runner holds it that may serve the demand
 * @param pressing whether models in use may be evicted for it if it is cold, or any models if it is not
 * @param urgency rank among the needs; the highest is planned first
 */
record ReplicaNeed(FleetDemand demand, boolean cold, boolean pressing, double urgency) {
    /** Returns whether the replica may be at any runner; a need that few runners can meet is planned first. */
    boolean anyRunner() {
        return demand.softwareVersion().isEmpty();
    }
}
