//! The callers' door: HTTP in, answers, token streams and problems out.
