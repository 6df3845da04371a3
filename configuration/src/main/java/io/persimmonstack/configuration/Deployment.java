package io.persimmonstack.configuration;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.List;

/**
 * Versions and adapters of a model that may be served, with the callers that may use them, the priority of their
 * requests and bounds on replicas.
 *
 * @param name name of the deployment, unique in a configuration
 * @param model name of the model
 * @param versions versions of the model that may be served; the first is the default
 * @param adapters adapters that may be served on top of the model
 * @param callers names of the callers that may use the deployment
 * @param priority priority of requests from 0 (most urgent) to 9 (least urgent)
 * @param replicaCap most replicas of the model, over all versions
 * @param minReplicas replicas that the deployment needs while it receives requests
 * @param coldStartWeight cost of one second of cold start, in idle accelerator seconds
 * @param maxDeadlineMs longest time that a request may wait for its answer, in milliseconds; caps the deadline that the
 *     caller asks for
 */
public record Deployment(
        String name,
        String model,
        List<String> versions,
        List<String> adapters,
        List<String> callers,
        int priority,
        int replicaCap,
        int minReplicas,
        double coldStartWeight,
        int maxDeadlineMs) {
    /** Number of the least urgent priority. */
    public static final int LOWEST_PRIORITY = 9;

    /** Makes immutable copies of the lists. */
    public Deployment {
        versions = List.copyOf(versions);
        adapters = List.copyOf(adapters);
        callers = List.copyOf(callers);
    }

    /** Returns the model versions, each of which occupies slots of its own, in the order of {@link #versions}. */
    public List<ModelVersion> modelVersions() {
        return versions.stream().map(version -> ModelVersion.of(model, version)).toList();
    }

    /**
     * Returns whether a caller may use the deployment.
     *
     * @param caller name of the caller
     * @return whether the caller is listed
     */
    public boolean admits(String caller) {
        return callers.contains(caller);
    }
}
