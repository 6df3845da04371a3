/** Configuration in force: routes, services, and the models that their runners can load. */
package io.persimmonstack.node.config;
