/** Selectors over the attributes and labels of a call. */
package dev.arbutusroad.core.selector;
