//! Stand-ins for the platform and the endpoints, with injected faults and journals of their own.
