/** HTTP server of the stand-ins, based on Undertow: one handler for each port, one virtual thread for each exchange. */
package io.persimmonstack.standin.http;
