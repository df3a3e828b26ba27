/**
 * A soak test with real processes: a gateway process with injected faults, scripted members and discovery, open-loop
 * clients, and a checker that judges the clients' and members' records. A run is one seed.
 */
package reedquay.lab.soak;
