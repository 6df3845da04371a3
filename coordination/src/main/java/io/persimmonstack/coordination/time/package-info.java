/** Clock abstraction, so that tests can run the library on virtual time. */
package io.persimmonstack.coordination.time;
