/** Numbered log events and the log that writes them. */
package io.persimmonstack.runtime.event;
