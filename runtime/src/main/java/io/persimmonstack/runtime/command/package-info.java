/** Command-line parsing on JOpt Simple, with usage help in sections. */
package io.persimmonstack.runtime.command;
