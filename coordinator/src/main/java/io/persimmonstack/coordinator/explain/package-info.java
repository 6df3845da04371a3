/** Explains to operators why a model is loaded, cold or refused and which node owns a runner. */
package io.persimmonstack.coordinator.explain;
