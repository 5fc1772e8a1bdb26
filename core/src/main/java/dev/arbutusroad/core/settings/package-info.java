/** The settings of a node. */
package dev.arbutusroad.core.settings;
