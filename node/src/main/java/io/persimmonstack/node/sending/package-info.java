/** Sends requests to runners, retries them and forwards the answers. */
package io.persimmonstack.node.sending;
