/**
 * Owns runners: acquires and hands them over, orders loads and unloads from their engines, and announces their states.
 */
package io.persimmonstack.coordinator.runner;
