package io.persimmonstack.node.placing;

import java.util.Optional;

/**
 * Estimate of when a model becomes available that requests wait for and that no runner holds which they may use.
 *
 * @param service service that serves the model
 * @param model name of the model
 * @param earliestMs shortest time until a runner can hold it, in milliseconds from now
 * @param softwareVersion software version of the runners that the requests may use; empty for any
 */
public record ModelArrival(String service, String model, long earliestMs, Optional<String> softwareVersion) {
    /** Creates an estimate for requests that may use runners of any software version. */
    public ModelArrival(String service, String model, long earliestMs) {
        this(service, model, earliestMs, Optional.empty());
    }
}
