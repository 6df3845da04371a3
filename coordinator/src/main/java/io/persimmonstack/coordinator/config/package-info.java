/** Keeps the configuration up to date through a watch, periodic reads and fetches from peers. */
package io.persimmonstack.coordinator.config;
