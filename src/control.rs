//! The control plane of one daemon: threads around configuration, membership, leases and orders.
