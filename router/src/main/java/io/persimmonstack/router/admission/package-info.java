/** Admission control: state of targets, choice of targets, bounded queues of waiting requests, and load requests. */
package io.persimmonstack.router.admission;
