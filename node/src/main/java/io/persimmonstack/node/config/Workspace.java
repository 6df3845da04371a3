package io.persimmonstack.node.config;

import java.util.Optional;

/**
 * Account of a customer, whose requests carry one of its keys.
 *
 * @param name name, unique in a configuration
 * @param priority priority of its requests, 0 is the most urgent; it outweighs that of the route
 * @param cap limit on its usage, empty if it has none
 */
public record Workspace(String name, int priority, Optional<UsageCap> cap) {}
