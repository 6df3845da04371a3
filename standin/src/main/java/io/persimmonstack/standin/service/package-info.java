/** Stand-in of a plain service instance, which serves calls without a model. */
package io.persimmonstack.standin.service;
