/** Client of the key-value service over the etcd v3 JSON gateway, limited to a number of calls per second. */
package io.persimmonstack.backends.kv;
