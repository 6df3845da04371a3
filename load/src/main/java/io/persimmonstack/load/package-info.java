/** The load generator persimmon-load: sends a bounded load as callers would and checks the system's guarantees. */
package io.persimmonstack.load;
