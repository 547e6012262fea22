//! Orders to engines: reconciliation, nightly upgrades and role changes.
