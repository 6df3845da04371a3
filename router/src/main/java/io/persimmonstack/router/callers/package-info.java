/** HTTP server for callers: buffers each request, runs the filters and writes the reply with back-pressure. */
package io.persimmonstack.router.callers;
