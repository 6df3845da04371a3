/** Exchange of what routers or nodes have observed of runners that ended. */
package io.persimmonstack.router.crash;
