/**
 * Keep-alive policies: how long an idle model stays loaded and when a model is loaded ahead of demand. They do no I/O
 * and use no clock of their own.
 */
package io.persimmonstack.coordination.policy;
