/**
 * Which sessions of clients are kept while descriptors are short, how one ends, and whose each open request is:
 * decisions alone, free of I/O, clock and threads.
 */
package reedquay.sessions;
