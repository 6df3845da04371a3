/** The coordinator daemon: tracks members and configuration, owns runners and orders loads and unloads on them. */
package io.persimmonstack.coordinator;
