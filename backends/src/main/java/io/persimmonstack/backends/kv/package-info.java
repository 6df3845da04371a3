/** Adapter to the key-value service over the etcd v3 JSON gateway, within a budget of calls. */
package io.persimmonstack.backends.kv;
