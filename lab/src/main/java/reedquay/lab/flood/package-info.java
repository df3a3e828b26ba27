/**
 * Abusive clients beside usual ones: a gateway process, clients that send messages of one kind at full speed, stop half
 * way or leave, and an account of what the usual clients and the members saw.
 */
package reedquay.lab.flood;
