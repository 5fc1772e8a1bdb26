/** JSON documents with comments, and the line of each value for error messages. */
package dev.arbutusroad.core.document;
