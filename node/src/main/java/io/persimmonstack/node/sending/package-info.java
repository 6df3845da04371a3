/** Sends a request to runners and hands their answer on. */
package io.persimmonstack.node.sending;
