/** TLS contexts and secrets from files, reloaded while the program runs when the files change. */
package io.persimmonstack.runtime.tls;
