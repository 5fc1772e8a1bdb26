/** HTTP/1.1 listeners and connections of the data path, on Netty's codec and one event loop. */
package dev.arbutusroad.http;
