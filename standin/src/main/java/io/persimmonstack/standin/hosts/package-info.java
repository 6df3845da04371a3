/** Stand-in of the host list; its ledger combines those of all engines and services. */
package io.persimmonstack.standin.hosts;
