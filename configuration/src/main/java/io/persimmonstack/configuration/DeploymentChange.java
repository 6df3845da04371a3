package io.persimmonstack.configuration;

/**
 * Last change of a deployment. After a removal it is retained for {@link FleetConfiguration#RETAINED_CHANGE_VERSIONS}
 * versions.
 *
 * @param deployment name of the deployment
 * @param version configuration version that changed, added or removed the deployment
 */
public record DeploymentChange(String deployment, long version) {}
