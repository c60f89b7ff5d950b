/**
 * Configuration files: TOML with overrides from the environment, read into typed records with all errors reported at
 * once.
 */
package tansypass.config;
