/** Reads settings from JSON with comments into records. Errors name file, key, value and expectation. */
package io.persimmonstack.runtime.settings;
