package io.persimmonstack.node.config;

import java.util.Optional;

/**
 * Group of runners that serve the same requests.
 *
 * @param name name of the service
 * @param healthPath path of its health check
 * @param maxConnections connections that a runner accepts in total
 * @param engine capacity of its model runners, empty for services without models
 */
public record Service(String name, String healthPath, int maxConnections, Optional<Engine> engine) {}
