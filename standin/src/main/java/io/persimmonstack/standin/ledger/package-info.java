/** Counts of runs and replicas across all engines and services of one process. */
package io.persimmonstack.standin.ledger;
