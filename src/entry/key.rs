//! Bearer keys, which identify workspaces.

use indexmap::{IndexMap, IndexSet};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::{id, settings};

/// The longest bearer key, in bytes.
const MAX_BEARER_KEY_BYTES: usize = 512;

type Hash = [u8; 32];

/// The keys of all workspaces.
///
/// Keys are found by their digest, so that the time of a look-up reveals nothing about a key, and
/// are neither kept nor logged in clear.
#[derive(Default)]
pub struct Keyring {
    workspaces: IndexMap<Hash, id::Workspace>,
    /// Workspaces whose idempotency keys must carry the time of issue.
    issue_time_required: IndexSet<id::Workspace>,
}

impl Keyring {
    /// Makes the keyring of `workspaces`.
    pub fn new(workspaces: &[settings::Workspace]) -> Self {
        let entries = workspaces.iter();
        let requiring = entries.clone().filter(|w| w.requires_issue_time);
        Self {
            issue_time_required: requiring.map(|w| w.name.as_str().into()).collect(),
            workspaces: entries
                .map(|w| (hash(&w.key), w.name.as_str().into()))
                .collect(),
        }
    }

    /// Returns whether a workspace's idempotency keys must carry the time of issue.
    pub fn requires_issue_time(&self, workspace: &str) -> bool {
        self.issue_time_required.contains(workspace)
    }

    /// Returns the workspace whose bearer key an `Authorization` header holds.
    pub fn workspace(&self, authorization: &str) -> Option<id::Workspace> {
        let (scheme, key) = authorization.split_once(' ')?;
        if !scheme.eq_ignore_ascii_case("bearer") || key.len() > MAX_BEARER_KEY_BYTES {
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
