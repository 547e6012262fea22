//! One daemon: the shell that joins callers, decisions, endpoints and peers.
