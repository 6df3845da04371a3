/** Stand-in of the weight store: its catalogue, and a simulation of how long loads take within its limits. */
package io.persimmonstack.standin.weights;
