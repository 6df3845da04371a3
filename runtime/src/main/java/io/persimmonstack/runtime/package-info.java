/** Shared program framework: command line, settings, log events, admin port, tracing and graceful stop on SIGTERM. */
package io.persimmonstack.runtime;
