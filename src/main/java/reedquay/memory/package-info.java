/** Limits on the memory that a gateway uses for others: decisions alone, free of I/O, clock and threads. */
package reedquay.memory;
