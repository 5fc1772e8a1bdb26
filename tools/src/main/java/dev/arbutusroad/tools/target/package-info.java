/** The stand-in for a target, for trials and tests only. */
package dev.arbutusroad.tools.target;
