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
 * Immutable configuration of the fleet that operators maintain. Each accepted change replaces it as a whole.
 *
 * @param version version number, incremented by one with each accepted change; 0 for the empty configuration
 * @param deployments deployments in the order of the operators' sheet
 * @param callers hashed keys of the callers
 * @param services policies of the plain services
 * @param changes last change of each deployment, including those removed in the last {@link #RETAINED_CHANGE_VERSIONS}
 *     versions
 */
public record FleetConfiguration(
        long version,
        List<Deployment> deployments,
        List<CallerKey> callers,
        List<ServicePolicy> services,
        List<DeploymentChange> changes) {
    /** Number of versions for which {@link #changes} retains a removed deployment. */
    public static final long RETAINED_CHANGE_VERSIONS = 20_000;

    /** Makes immutable copies of the lists. */
    public FleetConfiguration {
        deployments = List.copyOf(deployments);
        callers = List.copyOf(callers);
        services = List.copyOf(services);
        changes = List.copyOf(changes);
    }

    /**
     * Creates a configuration without earlier changes of deployments.
     *
     * @param version version of the configuration
     * @param deployments deployments
     * @param callers hashed keys of the callers
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
     * Returns the deployment with the given name.
     *
     * @param name name of the deployment
     * @return the deployment, or empty if none has the name
     */
    public Optional<Deployment> deployment(String name) {
        return deployments.stream()
                .filter(deployment -> deployment.name().equals(name))
                .findFirst();
    }

    /**
     * Returns the deployments through which a caller may use a model.
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
     * Returns how many replicas of a model may be loaded at most, over all versions. If its deployments set different
     * caps, the smallest applies.
     *
     * @param model name of the model
     * @return the cap, 0 where no deployment uses the model
     */
    public int replicaCap(String model) {
        return deployments.stream()
                .filter(deployment -> deployment.model().equals(model))
                .mapToInt(Deployment::replicaCap)
                .min()
                .orElse(0);
    }

    /** Returns the replica cap of every model in a deployment, by model name. See {@link #replicaCap}. */
    public Map<String, Integer> replicaCaps() {
        return deployments.stream().collect(Collectors.toMap(Deployment::model, Deployment::replicaCap, Math::min));
    }

    /** Returns all model versions that deployments may serve, in configuration order and without duplicates. */
    public Set<ModelVersion> modelVersions() {
        return deployments.stream()
                .flatMap(deployment -> deployment.modelVersions().stream())
                .collect(Collectors.toCollection(LinkedHashSet::new));
    }

    /**
     * Returns the policy of a plain service.
     *
     * @param name name of the service
     * @return the policy, or empty if the service has none
     */
    public Optional<ServicePolicy> service(String name) {
        return services.stream()
                .filter(service -> service.service().equals(name))
                .findFirst();
    }

    /**
     * Returns the caller that a presented key belongs to.
     *
     * @param presentedKey key from the request
     * @return the caller, or empty if the key matches none
     */
    public Optional<CallerKey> callerWithKey(String presentedKey) {
        return callers.stream().filter(caller -> caller.matches(presentedKey)).findFirst();
    }

    /**
     * Returns the configuration version that last changed, added or removed a deployment.
     *
     * @param deployment name of the deployment
     * @return the version, 0 where no change is recorded
     */
    public long lastChangeVersion(String deployment) {
        return changes.stream()
                .filter(change -> change.deployment().equals(deployment))
                .mapToLong(DeploymentChange::version)
                .findFirst()
                .orElse(0);
    }

    /**
     * Returns the next version with all deployments replaced. It records the new version as the last change of each
     * deployment that is added, changed or removed, and drops changes that are no longer retained.
     *
     * @param replacements complete list of deployments of the next version
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
     * Returns the next version with the key of a caller added, or replaced if the caller has one.
     *
     * @param key hashed key of the caller
     * @return the next version
     */
    public FleetConfiguration withCaller(CallerKey key) {
        List<CallerKey> next = new ArrayList<>(callers);
        next.removeIf(caller -> caller.caller().equals(key.caller()));
        next.add(key);
        return new FleetConfiguration(version + 1, deployments, next, services, changes);
    }

    /**
     * Returns the next version with the policy of a plain service added, or replaced if the service has one.
     *
     * @param policy new policy of the service
     * @return the next version
     */
    public FleetConfiguration withService(ServicePolicy policy) {
        List<ServicePolicy> next = new ArrayList<>(services);
        next.removeIf(service -> service.service().equals(policy.service()));
        next.add(policy);
        return new FleetConfiguration(version + 1, deployments, callers, next, changes);
    }
}
