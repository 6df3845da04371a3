/** Clients outside the limits of a listener, and checks of the process that they connect to. */
package io.persimmonstack.coordination.crowd;
