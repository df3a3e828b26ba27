/** Division of an event loop's time among those it serves: decisions alone, free of I/O, clock and threads. */
package reedquay.loop;
