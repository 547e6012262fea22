//! A daemon before endpoints in memory.
