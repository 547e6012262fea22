//! The conditions and effects of each kind of change.

use super::{
    Fold, Key, MAX_EXCEPTIONS, MAX_HISTORY, MAX_REMOVALS, MAX_TEXT_BYTES, refuse, scope_of,
};
use crate::config::record::{
    Cause, Change, Clear, Entry, Expire, Level, Raise, Refusal, Scope, Set, Value,
};
use crate::config::setting::{self, Setting};
use crate::id;

impl Fold {
    fn key(&self, name: &str, scope: Option<&Scope>) -> Result<(Key, &'static Setting), Refusal> {
        let Some((index, setting)) = setting::find(name, self.level) else {
            return Err(refuse(Cause::UnknownSetting, format!("no setting {name}")));
        };
        if let Some(scope) = scope {
            if (scope.level == Level::Fleet) != scope.name.is_empty() {
                let detail = "every scope but the fleet has a name";
                return Err(refuse(Cause::Invalid, detail));
            }
            if scope.name.len() > MAX_TEXT_BYTES {
                return Err(refuse(Cause::OverLimit, "the scope's name is too long"));
            }
        }
        let key = Key {
            setting: index,
            level: scope.map(|s| s.level),
            name: scope.map_or("", |s| s.name.as_str()).into(),
        };
        Ok((key, setting))
    }

    /// Returns the revision at which a key last changed, or an upper bound of it.
    fn last_change(&self, key: &Key) -> id::Revision {
        match (self.entries.get(key), self.removals.get(key)) {
            (Some(entry), _) => entry.revision,
            (None, Some(revision)) => *revision,
            (None, None) => self.floor,
        }
    }

    fn check_base(&self, key: &Key, base: id::Revision) -> Result<(), Refusal> {
        let changed = self.last_change(key);
        if base < changed {
            let detail = format!("the key changed at revision {changed}, after {base}");
            return Err(refuse(Cause::Stale, detail));
        }
        if base > self.next {
            let detail = format!("base {base} is ahead of the log at {}", self.next);
            return Err(refuse(Cause::Invalid, detail));
        }
        Ok(())
    }

    pub(super) fn set(
        &mut self,
        set: &Set,
        author: &str,
        revision: id::Revision,
    ) -> Result<(), Refusal> {
        let (key, setting) = self.key(&set.setting, set.scope.as_ref())?;
        let value = setting
            .check(&set.value)
            .map_err(|detail| refuse(Cause::Invalid, detail))?;
        if key.level.is_some() && set.reason.trim().is_empty() {
            return Err(refuse(Cause::Invalid, "an exception needs a reason"));
        }
        if key.level.is_none() && set.expires_ms.is_some() {
            return Err(refuse(Cause::Invalid, "a default does not expire"));
        }
        self.check_base(&key, set.base)?;
        let is_new = !self.entries.contains_key(&key);
        if is_new && key.level.is_some() && self.exception_count() >= MAX_EXCEPTIONS {
            let detail = format!("there are {MAX_EXCEPTIONS} exceptions already");
            return Err(refuse(Cause::OverLimit, detail));
        }
        let entry = Entry {
            setting: set.setting.clone(),
            scope: set.scope.clone(),
            value: value.clone(),
            revision,
            author: author.into(),
            reason: set.reason.clone(),
            expires_ms: set.expires_ms,
        };
        self.removals.shift_remove(&key);
        let before = self.entries.insert(key.clone(), entry).map(|e| e.value);
        self.push_history(&key, before, Some(value), author, &set.reason, revision);
        Ok(())
    }

    fn exception_count(&self) -> usize {
        self.entries.keys().filter(|k| k.level.is_some()).count()
    }

    pub(super) fn clear(
        &mut self,
        clear: &Clear,
        author: &str,
        revision: id::Revision,
    ) -> Result<(), Refusal> {
        let (key, _) = self.key(&clear.setting, clear.scope.as_ref())?;
        self.check_base(&key, clear.base)?;
        self.remove(&key, author, &clear.reason, revision)
    }

    pub(super) fn expire(
        &mut self,
        expire: &Expire,
        author: &str,
        revision: id::Revision,
    ) -> Result<(), Refusal> {
        let (key, _) = self.key(&expire.setting, Some(&expire.scope))?;
        let entry = self.entries.get(&key);
        let due = entry
            .filter(|e| e.revision == expire.revision)
            .and_then(|e| e.expires_ms);
        match due {
            Some(due) if due <= expire.now_ms => self.remove(&key, author, "expired", revision),
            Some(_) => Err(refuse(Cause::Invalid, "the exception has not expired")),
            None => Err(refuse(Cause::Stale, "the exception changed or is gone")),
        }
    }

    fn remove(
        &mut self,
        key: &Key,
        author: &str,
        reason: &str,
        revision: id::Revision,
    ) -> Result<(), Refusal> {
        let Some(entry) = self.entries.shift_remove(key) else {
            return Err(refuse(Cause::Invalid, "there is nothing to remove"));
        };
        if self.removals.len() >= MAX_REMOVALS
            && let Some((_, forgotten)) = self.removals.shift_remove_index(0)
        {
            self.floor = self.floor.max(forgotten);
        }
        self.removals.insert(key.clone(), revision);
        self.push_history(key, Some(entry.value), None, author, reason, revision);
        Ok(())
    }

    pub(super) fn raise(&mut self, raise: &Raise) -> Result<(), Refusal> {
        if raise.level != self.level + 1 {
            let detail = format!("the level after {} is the next", self.level);
            return Err(refuse(Cause::Invalid, detail));
        }
        self.level = raise.level;
        Ok(())
    }

    fn push_history(
        &mut self,
        key: &Key,
        before: Option<Value>,
        after: Option<Value>,
        author: &str,
        reason: &str,
        revision: id::Revision,
    ) {
        if self.history.len() >= MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(Change {
            setting: setting::CATALOGUE[key.setting].name.into(),
            scope: scope_of(key),
            before,
            after,
            revision,
            author: author.into(),
            reason: reason.into(),
        });
    }
}
