/**
 * Decides where and when models are loaded. Load requests are coalesced at one node for each model, planned against the
 * announced runner states and forwarded to the owner of the chosen runner. Demand statistics drive keep-alive times,
 * preloading and slots granted ahead of demand.
 */
package io.persimmonstack.coordinator.load;
