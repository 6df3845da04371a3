/** Trust between the system's own processes, from settings. */
package io.persimmonstack.backends.peer;
