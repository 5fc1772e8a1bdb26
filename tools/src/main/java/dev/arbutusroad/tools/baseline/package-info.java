/** A forwarder without overload control, or with a static limit, as the baseline of a trial. */
package dev.arbutusroad.tools.baseline;
