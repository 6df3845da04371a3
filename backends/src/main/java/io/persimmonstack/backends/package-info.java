/** Adapters to the platform: one package for each interface, over one HTTP connector. */
package io.persimmonstack.backends;
