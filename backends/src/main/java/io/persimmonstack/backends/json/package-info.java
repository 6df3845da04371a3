/** JSON requests and responses over the HTTP connector, bound to records. */
package io.persimmonstack.backends.json;
