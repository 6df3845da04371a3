/**
 * Finds the parts of prompts under which runner processes end, from what many nodes observed. Free of I/O; time comes
 * as an argument.
 */
package io.persimmonstack.coordination.crash;
