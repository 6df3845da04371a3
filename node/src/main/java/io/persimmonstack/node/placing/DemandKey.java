package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ModelRef;
import java.util.Optional;

/**
 * What demand is for.
 *
 * @param service service that serves the requests
 * @param model model or adapter
 * @param softwareVersion the only software version that may serve them, empty for any
 */
record DemandKey(String service, ModelRef model, Optional<String> softwareVersion) {
    /** Returns the demand of a request for a model. */
    static DemandKey of(QueuedRequest queued, ModelRef model) {
        return new DemandKey(
                queued.request().service().name(), model, queued.runnerFilter().softwareVersion());
    }
}
