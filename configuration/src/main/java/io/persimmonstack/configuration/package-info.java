/** Fleet configuration that operators maintain: deployments, callers and plain services, and its JSON encoding. */
package io.persimmonstack.configuration;
