/** Traces of calls and triggers: format, generator and files. */
package dev.arbutusroad.tools.trace;
