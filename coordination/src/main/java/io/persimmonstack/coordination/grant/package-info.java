/**
 * Ownership of runners and slots of models: records in the key-value service that determine which node may send orders
 * to a runner and which models may be loaded on it, within the replica caps.
 */
package io.persimmonstack.coordination.grant;
