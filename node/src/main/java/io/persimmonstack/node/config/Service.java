package io.persimmonstack.node.config;

import java.util.Optional;

/**
 * Group of runners that serve the same requests.
 *
 * @param name name of the service
 * @param healthPath path of its health check
 * @param maxConnections connections that one runner accepts from all callers
 * @param engine what its runners can hold, absent for plain services
 */
public record Service(String name, String healthPath, int maxConnections, Optional<Engine> engine) {}
