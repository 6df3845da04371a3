/** HTTP towards callers: receiving requests, the directory and readiness. */
package io.persimmonstack.node.callers;
