/** HTTP server for callers: receives and serves requests, looks up node addresses and drains a stopping node. */
package io.persimmonstack.node.callers;
