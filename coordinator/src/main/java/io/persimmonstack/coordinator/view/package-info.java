/** Combines what this node knows of the fleet and publishes it to routers and operators. */
package io.persimmonstack.coordinator.view;
