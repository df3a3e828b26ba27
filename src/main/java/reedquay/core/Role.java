package reedquay.core;

/** The role that a member reports. The names appear in trace lines. */
public enum Role { UNKNOWN, PRIMARY, REPLICA }
