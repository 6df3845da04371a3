/** Short examples of services that embed the coordination library. */
package io.persimmonstack.examples;
