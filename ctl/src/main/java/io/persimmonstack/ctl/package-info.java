/** Command-line program persimmonctl, with which operators change and inspect a fleet. */
package io.persimmonstack.ctl;
