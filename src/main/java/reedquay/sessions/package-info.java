/** Which sessions of clients are kept while descriptors are short: decisions alone, free of I/O, clock and threads. */
package reedquay.sessions;
