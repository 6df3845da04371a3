/** HTTP servers that bound what their clients send, hold and leave unread. */
package io.persimmonstack.runtime.http;
