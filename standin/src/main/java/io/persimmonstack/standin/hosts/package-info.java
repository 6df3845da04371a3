/** Stand-in of the host list; its ledger combines those of all engines, services and the weight store. */
package io.persimmonstack.standin.hosts;
