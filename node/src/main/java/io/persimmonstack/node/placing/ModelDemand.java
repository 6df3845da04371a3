package io.persimmonstack.node.placing;

import io.persimmonstack.node.request.ModelRef;

/**
 * What callers of this node ask of a model.
 *
 * @param service service that serves the model
 * @param model model or adapter
 * @param waiting requests that wait for a runner
 * @param arrived requests that arrived since the last count
 * @param oldestWaitMs how long the oldest waiting request has waited, in milliseconds
 * @param targetLatencyMs its latency target, in milliseconds
 */
public record ModelDemand(
        String service, ModelRef model, int waiting, int arrived, long oldestWaitMs, long targetLatencyMs) {}
