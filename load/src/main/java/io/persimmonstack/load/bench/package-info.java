/** Benchmarks that the scripts in build/bench start. */
package io.persimmonstack.load.bench;
