//! Bearer keys: each names a workspace.

use indexmap::{IndexMap, IndexSet};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{id, settings};

/// The longest bearer key, in bytes.
const MAX_KEY_BYTES: usize = 512;

type Hash = [u8; 32];

/// The keys of all workspaces.
///
/// Keys are found by their digest, so that the time of a look-up says nothing about a key, and
/// are neither kept nor logged in clear.
#[derive(Default)]
pub struct Keyring {
    workspaces: IndexMap<Hash, id::Workspace>,
    /// Workspaces whose idempotency keys must tell when they were issued.
    dated: IndexSet<id::Workspace>,
}

impl Keyring {
    /// Takes the keys from the settings.
    pub fn new(workspaces: &[settings::Workspace]) -> Self {
        let entries = workspaces.iter();
        let dated = entries.clone().filter(|w| w.requires_issue_time);
        Self {
            dated: dated.map(|w| w.name.as_str().into()).collect(),
            workspaces: entries
                .map(|w| (hash(&w.key), w.name.as_str().into()))
                .collect(),
        }
    }

    /// Says whether a workspace's idempotency keys must tell when they were issued.
    pub fn requires_issue_time(&self, workspace: &str) -> bool {
        self.dated.contains(workspace)
    }

    /// Returns the workspace that an `Authorization` header names.
    pub fn workspace(&self, authorization: &str) -> Option<id::Workspace> {
        let (scheme, key) = authorization.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") || key.len() > MAX_KEY_BYTES {
            return None;
        }
        let presented = hash(key.trim());
        let (known, workspace) = self.workspaces.get_key_value(&presented)?;
        bool::from(known.ct_eq(&presented)).then(|| workspace.clone())
    }
}

fn hash(key: &str) -> Hash {
    Sha256::digest(key.as_bytes()).into()
}
