package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ModelRef;
import java.util.Optional;

/**
 * Demand for one model or adapter at one node.
 *
 * @param service service that serves the model
 * @param model model or adapter
 * @param waiting number of requests that wait for a runner, with refused ones that are expected to be retried
 * @param arrived number of requests that arrived since the previous report
 * @param oldestWaitMs time that the oldest waiting request has waited, in milliseconds; 0 if none waits
 * @param targetLatencyMs latency target of the oldest waiting request, in milliseconds; 0 if none waits
 * @param softwareVersion the only software version that may serve the waiting requests; empty for any
 */
public record ModelDemand(
        String service,
        ModelRef model,
        int waiting,
        int arrived,
        long oldestWaitMs,
        long targetLatencyMs,
        Optional<String> softwareVersion) {
    /** Creates demand that runners of any software version may serve. */
    public ModelDemand(
            String service, ModelRef model, int waiting, int arrived, long oldestWaitMs, long targetLatencyMs) {
        this(service, model, waiting, arrived, oldestWaitMs, targetLatencyMs, Optional.empty());
    }
}
