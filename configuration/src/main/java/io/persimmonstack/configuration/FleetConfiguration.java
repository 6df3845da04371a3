package io.persimmonstack.configuration;

import io.persimmonstack.coordination.model.ModelVersion;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/**
 * Everything that operators decide, replaced whole by each accepted change.
 *
 * @param version grows by one with each accepted change, 0 for the empty configuration
 * @param deployments deployments, ordered as in the sheet
 * @param callers keys of the callers
 * @param services policies of the plain services
 * @param changes last change of each deployment, also of those removed within {@link #RETAINED_CHANGE_VERSIONS}
 */
public record FleetConfiguration(
        long version,
        List<Deployment> deployments,
        List<CallerKey> callers,
        List<ServicePolicy> services,
        List<DeploymentChange> changes) {
    /** Number of versions for which the removal of a deployment is remembered. */
    public static final long RETAINED_CHANGE_VERSIONS = 20_000;

    /** Copies the lists. */
    public FleetConfiguration {
        deployments = List.copyOf(deployments);
        callers = List.copyOf(callers);
        services = List.copyOf(services);
        changes = List.copyOf(changes);
    }

    /**
     * Creates a configuration without a record of earlier changes.
     *
     * @param version version of the configuration
     * @param deployments deployments
     * @param callers keys of the callers
     * @param services policies of the plain services
     */
    public FleetConfiguration(
            long version, List<Deployment> deployments, List<CallerKey> callers, List<ServicePolicy> services) {
        this(version, deployments, callers, services, List.of());
    }

    /** Returns the configuration before the first accepted change. */
    public static FleetConfiguration empty() {
        return new FleetConfiguration(0, List.of(), List.of(), List.of());
    }

    /**
     * Finds a deployment.
     *
     * @param name name of the deployment
     * @return the deployment, if there is one
     */
    public Optional<Deployment> deployment(String name) {
        return deployments.stream()
                .filter(deployment -> deployment.name().equals(name))
                .findFirst();
    }

    /**
     * Finds the deployments through which a caller may use a model.
     *
     * @param caller name of the caller
     * @param model name of the model
     * @return the deployments, in configuration order
     */
    public List<Deployment> deploymentsFor(String caller, String model) {
        return deployments.stream()
                .filter(deployment -> deployment.model().equals(model) && deployment.admits(caller))
                .toList();
    }

    /**
     * Returns the most replicas of a model that may be loaded, all versions together.
     *
     * @param model name of the model
     * @return the cap, 0 where no deployment has the model
     */
    public int replicaCap(String model) {
        return deployments.stream()
                .filter(deployment -> deployment.model().equals(model))
                .mapToInt(Deployment::replicaCap)
                .min()
                .orElse(0);
    }

    /** Returns the cap of every model that a deployment has, by name of the model. */
    public Map<String, Integer> replicaCaps() {
        return deployments.stream().collect(Collectors.toMap(Deployment::model, Deployment::replicaCap, Math::min));
    }

    /** Returns every model version that a deployment may serve. */
    public Set<ModelVersion> modelVersions() {
        return deployments.stream()
                .flatMap(deployment -> deployment.modelVersions().stream())
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    /**
     * Finds the policy of a plain service.
     *
     * @param name name of the service
     * @return the policy, if there is one
     */
    public Optional<ServicePolicy> service(String name) {
        return services.stream()
                .filter(service -> service.service().equals(name))
                .findFirst();
    }

    /**
     * Identifies a caller by its key.
     *
     * @param presentedKey key from the request
     * @return the caller, if the key is known
     */
    public Optional<CallerKey> callerWithKey(String presentedKey) {
        return callers.stream().filter(caller -> caller.matches(presentedKey)).findFirst();
    }

    /**
     * Returns the version that last changed, added or removed a deployment.
     *
     * @param deployment name of the deployment
     * @return the version, 0 where no change is remembered
     */
    public long lastChangeVersion(String deployment) {
        return changes.stream()
                .filter(change -> change.deployment().equals(deployment))
                .mapToLong(DeploymentChange::version)
                .findFirst()
                .orElse(0);
    }

    /**
     * Returns the next version, with other deployments.
     *
     * @param replacements all deployments of the next version
     * @return the next version
     */
    public FleetConfiguration withDeployments(List<Deployment> replacements) {
        FleetConfiguration next = new FleetConfiguration(version + 1, replacements, callers, services, List.of());
        Set<String> deploymentNames = new TreeSet<>();
        changes.forEach(change -> deploymentNames.add(change.deployment()));
        deployments.forEach(deployment -> deploymentNames.add(deployment.name()));
        replacements.forEach(deployment -> deploymentNames.add(deployment.name()));
        List<DeploymentChange> nextChanges = new ArrayList<>();
        for (String name : deploymentNames) {
            boolean unchanged = deployment(name).equals(next.deployment(name));
            long changedVersion = unchanged ? lastChangeVersion(name) : next.version();
            boolean expired =
                    next.deployment(name).isEmpty() && changedVersion < next.version() - RETAINED_CHANGE_VERSIONS;
            if (changedVersion > 0 && !expired) {
                nextChanges.add(new DeploymentChange(name, changedVersion));
            }
        }
        return new FleetConfiguration(version + 1, replacements, callers, services, nextChanges);
    }

    /**
     * Returns the next version, with a caller's key added or replaced.
     *
     * @param key key of the caller
     * @return the next version
     */
    public FleetConfiguration withCaller(CallerKey key) {
        List<CallerKey> next = new ArrayList<>(callers);
        next.removeIf(caller -> caller.caller().equals(key.caller()));
        next.add(key);
        return new FleetConfiguration(version + 1, deployments, next, services, changes);
    }

    /**
     * Returns the next version, with a policy of a plain service added or replaced.
     *
     * @param policy policy of the service
     * @return the next version
     */
    public FleetConfiguration withService(ServicePolicy policy) {
        List<ServicePolicy> next = new ArrayList<>(services);
        next.removeIf(service -> service.service().equals(policy.service()));
        next.add(policy);
        return new FleetConfiguration(version + 1, deployments, callers, next, changes);
    }
}
