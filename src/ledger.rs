//! The ledger: what each stage and workspace spends.
