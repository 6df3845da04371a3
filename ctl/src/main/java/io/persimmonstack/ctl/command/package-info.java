/** Commands of persimmonctl, one class for each. */
package io.persimmonstack.ctl.command;
