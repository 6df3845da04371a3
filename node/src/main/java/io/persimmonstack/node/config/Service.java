package io.persimmonstack.node.config;

import io.persimmonstack.node.request.ModelRef;
import java.util.Optional;

/**
 * Group of runners that serve the same requests.
 *
 * @param name name of the service
 * @param healthPath path of its health check
 * @param maxConnections connections that a runner accepts in total
 * @param engine capacity of its model runners, empty for services without models
 */
public record Service(String name, String healthPath, int maxConnections, Optional<Engine> engine) {
    /** Returns whether the service has a model or an adapter of this name. */
    public boolean has(ModelRef model) {
        return engine.map(present -> present.has(model)).orElse(false);
    }
}
