/** HTTP/1.1 server and client of the data path, built on Netty's codec and one event loop. */
package dev.arbutusroad.http;
