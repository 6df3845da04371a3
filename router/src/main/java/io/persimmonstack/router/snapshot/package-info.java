/** Client of the coordinators, and the view of the fleet built from the snapshots that they send. */
package io.persimmonstack.router.snapshot;
