/** Configuration in force: routes, services, and the models that their runners may hold. */
package io.persimmonstack.node.config;
