/** The agent that keeps the configuration of a node up to date. */
package dev.arbutusroad.node.configuration;
