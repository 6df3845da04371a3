/** Fault injection for the stand-ins, controlled over HTTP. */
package io.persimmonstack.standin.fault;
