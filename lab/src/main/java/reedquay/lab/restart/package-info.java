/** Planned restarts and closes for room of a gateway process that is held up, beside clients that keep sending. */
package reedquay.lab.restart;
