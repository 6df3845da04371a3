/** Client of the platform's host list, which names every host with its state. */
package io.persimmonstack.backends.hosts;
