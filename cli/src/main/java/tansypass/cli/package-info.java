/** The program's command line: running a node, admin calls, and the testbed. */
package tansypass.cli;
