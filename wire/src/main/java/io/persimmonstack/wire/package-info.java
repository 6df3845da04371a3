/** Thrift transport between the system's own processes: servers, pooled client connections and mutual TLS. */
package io.persimmonstack.wire;
