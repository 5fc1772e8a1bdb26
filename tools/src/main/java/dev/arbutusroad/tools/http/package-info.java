/** HTTP helpers that the tools and stand-ins share. */
package dev.arbutusroad.tools.http;
