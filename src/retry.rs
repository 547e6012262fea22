//! Retries and hedges under budgets.
