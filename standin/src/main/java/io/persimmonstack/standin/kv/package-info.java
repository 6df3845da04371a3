/** Stand-in of the key-value service: an in-memory store behind the etcd v3 JSON gateway API. */
package io.persimmonstack.standin.kv;
