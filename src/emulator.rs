//! Models of endpoints in virtual time, against which a planner plays load patterns.
//!
//! Nothing here does I/O or waits: a replay of half a minute takes some milliseconds, and the same
//! seed always plays the same. The models hold what decides under load: engines that read prompts one
//! after another and keep their parts, and stage endpoints with one call at a time and bounded room
//! for results. See [the design note](../docs/design/fleet.md).

pub mod engine;
pub mod load;
pub mod pace;
pub mod replay;
pub mod stage;
