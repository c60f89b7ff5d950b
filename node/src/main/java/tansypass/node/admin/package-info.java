/** The admin interface for operators: readiness, draining and metrics over HTTP. */
package tansypass.node.admin;
