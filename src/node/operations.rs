//! Answers operators from the state of a daemon.

use std::sync::Arc;
use std::time::Duration;

use crate::clock::Time;
use crate::config::record::{self, Body, Clear, Level, Scope, Set, Value};
use crate::config::setting::{CATALOGUE, Preset, Setting};
use crate::config::{Context, edit};
use crate::control::{self, Control};
use crate::daemon::Daemon;
use crate::member::Status as MemberStatus;
use crate::operate::status::{Blame, Count, Endpoint, Lease, Member, Upgrade};
use crate::operate::{
    AcceptedChange, Answer, Change, ConfigSnapshot, Edit, Error, Operations, Query, Result,
    SettingValue, Status, Verdict,
};
use crate::quarantine::replica::Replica;
use crate::settings::{Settings, plan};
use crate::timeline::Recorder;
use crate::{id, quarantine, timeline};

/// Answers operators for one daemon.
pub struct NodeOperations {
    pub(super) settings: Arc<Settings>,
    pub(super) daemon: Arc<Daemon>,
    pub(super) control: Arc<Control>,
    pub(super) quarantine: Arc<Replica>,
    pub(super) recorder: Arc<Recorder>,
    pub(super) drain: flume::Sender<()>,
}

impl NodeOperations {
    fn own_name(&self) -> id::Daemon {
        self.settings.daemon.name.as_str().into()
    }

    fn status(&self) -> Status {
        let zone = &self.settings.daemon.availability_zone;
        let status = self.daemon.status();
        let config_status = self.control.status();
        Status {
            daemon: self.own_name(),
            zone: zone.as_str().into(),
            region: plan::region_of(&self.settings, zone).unwrap_or_default(),
            ready: status.ready,
            uptime: status.uptime,
            requests: status.requests as u64,
            revision: config_status.revision,
            fresh: config_status.is_fresh,
            members: self.members(),
            endpoints: self.endpoints(),
            leases: self.leases(),
            quarantine: self.quarantine(),
            upgrades: self.upgrades(),
            alarms: self.alarms(&config_status),
            counts: counts([status.counts, self.control.counts()].concat()),
        }
    }

    fn members(&self) -> Vec<Member> {
        let live = self.control.live().into_iter();
        live.map(|peer| Member {
            state: show_member_status(peer.status).into(),
            daemon: peer.daemon,
            zone: peer.zone,
            revision: peer.revision,
        })
        .collect()
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        let checks = |pool: &id::Pool| {
            let pools = &self.settings.pools;
            pools.iter().any(|p| *p.name == **pool && p.checks_fencing)
        };
        let all = self.control.candidates().into_iter();
        all.map(|c| Endpoint {
            checks_fencing: checks(&c.pool),
            endpoint: c.endpoint,
            pool: c.pool,
            zone: c.zone,
            leaving: c.leaving,
        })
        .collect()
    }

    fn quarantine(&self) -> Vec<Blame> {
        let now = self.daemon.status().uptime;
        let list = self.quarantine.list().into_iter();
        list.map(|(digest, status)| Blame {
            digest,
            status: show_quarantine_status(&status, now),
        })
        .collect()
    }

    fn upgrades(&self) -> Vec<Upgrade> {
        let zone_statuses = self.control.zone_statuses().into_iter();
        let zone_upgrades = |(zone, zone_status): (id::Zone, control::ZoneStatus)| {
            let upgrades = zone_status.upgrades.into_iter();
            upgrades.map(move |u| Upgrade {
                zone: zone.clone(),
                pool: u.pool,
                target: u.target,
                phase: u.phase,
                out_of_service: u.out_of_service,
            })
        };
        zone_statuses.flat_map(zone_upgrades).collect()
    }

    fn alarms(&self, config_status: &control::Status) -> Vec<String> {
        let zone_statuses = self.control.zone_statuses().into_iter();
        let mut alarms: Vec<String> = zone_statuses
            .flat_map(|(zone, zone_status)| {
                let alarms = zone_status.alarms.into_iter();
                alarms.map(move |alarm| format!("zone {zone}: {alarm}"))
            })
            .collect();
        if config_status.has_gap {
            alarms.push("configuration: records are missing; a checkpoint is awaited".into());
        }
        if config_status.is_regressed {
            alarms.push("configuration: the log was reset".into());
        }
        if let Some(level) = config_status.halted {
            alarms.push(format!("configuration: level {level} needs a newer daemon"));
        }
        if let Some(revision) = config_status.diverged {
            alarms.push(format!(
                "configuration: other daemons differ at revision {revision}"
            ));
        }
        alarms
    }

    fn leases(&self) -> Vec<Lease> {
        let leases = self.control.leases().into_iter();
        leases
            .map(|lease| Lease {
                name: lease.name,
                holder: lease.holder,
                fence: lease.fence,
            })
            .collect()
    }

    fn body(&self, change: &Change) -> Result<Body> {
        let revision_in_force = self.control.status().revision;
        match change {
            Change::Set {
                setting,
                scope,
                value,
                reason,
                expires_ms,
                base,
            } => Ok(Body::Set(Set {
                value: parse_value(find_setting(setting)?, value)?,
                setting: setting.clone(),
                scope: scope.as_deref().map(parse_scope).transpose()?,
                base: base.unwrap_or(revision_in_force),
                reason: reason.clone(),
                expires_ms: *expires_ms,
            })),
            Change::Clear {
                setting,
                scope,
                reason,
                base,
            } => Ok(Body::Clear(Clear {
                setting: find_setting(setting)?.name.to_owned(),
                scope: scope.as_deref().map(parse_scope).transpose()?,
                base: base.unwrap_or(revision_in_force),
                reason: reason.clone(),
            })),
            Change::Rollback { revision } => {
                let history = self.control.history();
                let change = history.iter().find(|c| c.revision == *revision);
                let change = change.ok_or_else(|| Error::Input {
                    reason: format!("no accepted change has revision {revision}"),
                })?;
                Ok(edit::rollback(change, revision_in_force))
            }
        }
    }

    /// Returns the built-in defaults in force and the values that operators set.
    fn setting_values(&self) -> Vec<SettingValue> {
        let entries = self.control.entries();
        let view = self.control.view();
        let mut values = Vec::new();
        for setting in CATALOGUE {
            let is_set = |e: &&record::Entry| e.setting == setting.name;
            let set_entries: Vec<&record::Entry> = entries.iter().filter(is_set).collect();
            if set_entries.iter().all(|e| e.scope.is_some()) {
                let value = view.get(setting, &Context::default());
                values.push(setting_value(setting, &value, None));
            }
            values.extend(
                set_entries
                    .iter()
                    .map(|e| setting_value(setting, &e.value, Some(e))),
            );
        }
        values
    }
}

fn show_quarantine_status(status: &quarantine::Status, now: Time) -> String {
    match status {
        quarantine::Status::Clear => "clear".into(),
        quarantine::Status::Suspect => "suspect".into(),
        quarantine::Status::Refused { until } => {
            format!("refused for {} s", until.saturating_sub(now).as_secs())
        }
    }
}

fn show_member_status(status: MemberStatus) -> &'static str {
    match status {
        MemberStatus::Alive => "alive",
        MemberStatus::Suspect => "suspect",
        MemberStatus::Leaving => "leaving",
        MemberStatus::Dead => "dead",
    }
}

fn counts(list: Vec<(&'static str, u64)>) -> Vec<Count> {
    let list = list.into_iter();
    list.map(|(name, value)| Count {
        name: name.into(),
        value,
    })
    .collect()
}

fn setting_value(setting: &Setting, value: &Value, entry: Option<&&record::Entry>) -> SettingValue {
    SettingValue {
        setting: setting.name.to_owned(),
        scope: entry.and_then(|e| e.scope.as_ref()).map(show_scope),
        value: show_value(value),
        unit: setting.unit.to_owned(),
        meaning: setting.meaning.to_owned(),
        reason: entry.map(|e| e.reason.clone()),
        author: entry.map(|e| e.author.clone()),
        revision: entry.map_or(0, |e| e.revision),
        expires_ms: entry.and_then(|e| e.expires_ms),
    }
}

fn find_setting(name: &str) -> Result<&'static Setting> {
    let found = CATALOGUE.iter().find(|s| s.name == name);
    found.copied().ok_or_else(|| Error::Input {
        reason: format!("no setting `{name}`; see `cyclamenrill config show`"),
    })
}

/// Parses a value in the notation of its setting.
fn parse_value(setting: &Setting, text: &str) -> Result<Value> {
    let error = |expected: &str| Error::Input {
        reason: format!("{}: `{text}` is not {expected}", setting.name),
    };
    let number = |expected| text.parse::<u64>().map_err(|_| error(expected));
    match setting.preset {
        Preset::Milliseconds(_) => Ok(Value::Ms(number("a number of milliseconds")?)),
        Preset::Count(_) => Ok(Value::Count(number("a whole number")?)),
        Preset::Ratio(_) => match text.parse::<f64>() {
            Ok(ratio) if ratio.is_finite() => Ok(Value::Ratio(ratio)),
            _ => Err(error("a number")),
        },
        Preset::Flag(_) => match text {
            "true" | "yes" => Ok(Value::Flag(true)),
            "false" | "no" => Ok(Value::Flag(false)),
            _ => Err(error("true or false")),
        },
        Preset::Text(_) => Ok(Value::Text(text.to_owned())),
        Preset::Names(_) => {
            let names = text.split(',').map(str::trim).filter(|n| !n.is_empty());
            Ok(Value::Names(names.map(str::to_owned).collect()))
        }
    }
}

fn show_value(value: &Value) -> String {
    match value {
        Value::Ms(number) | Value::Count(number) => number.to_string(),
        Value::Ratio(ratio) => ratio.to_string(),
        Value::Flag(flag) => flag.to_string(),
        Value::Text(text) => text.clone(),
        Value::Names(names) => names.join(","),
    }
}

/// Parses `level:name`.
fn parse_scope(text: &str) -> Result<Scope> {
    let error = || Error::Input {
        reason: format!(
            "scope `{text}`: expected LEVEL:NAME with the level region, availability-zone, pool, \
             endpoint, workspace or pipeline"
        ),
    };
    let (level, name) = text.split_once(':').ok_or_else(error)?;
    let level: Level = level.parse().map_err(|_| error())?;
    Ok(Scope {
        level,
        name: name.to_owned(),
    })
}

fn show_scope(scope: &Scope) -> String {
    format!("{}:{}", scope.level, scope.name)
}

fn accepted_change(change: &record::Change) -> AcceptedChange {
    AcceptedChange {
        revision: change.revision,
        author: change.author.clone(),
        setting: change.setting.clone(),
        scope: change.scope.as_ref().map(show_scope),
        before: change.before.as_ref().map(show_value),
        after: change.after.as_ref().map(show_value),
        reason: change.reason.clone(),
    }
}

impl Operations for NodeOperations {
    fn answer(&self, query: &Query) -> Answer {
        match query {
            Query::Status => Answer::Status(Box::new(self.status())),
            Query::Report => Answer::Report(self.daemon.report()),
            Query::Events(since) => Answer::Events(self.recorder.since(*since)),
        }
    }

    fn drain(&self) {
        self.recorder.record(
            timeline::Kind::Daemon,
            None,
            None,
            "an operator asked for a shutdown",
        );
        // The channel is full when a shutdown was requested before.
        let _ = self.drain.try_send(());
    }

    fn config(&self) -> ConfigSnapshot {
        let config_status = self.control.status();
        ConfigSnapshot {
            revision: config_status.revision,
            fresh: config_status.is_fresh,
            values: self.setting_values(),
        }
    }

    fn history(&self) -> Vec<AcceptedChange> {
        self.control.history().iter().map(accepted_change).collect()
    }

    fn edit(&self, edit: &Edit, timeout: Duration) -> Result<Verdict> {
        let body = self.body(&edit.change)?;
        let record = edit::record(&edit.author, body);
        Ok(match self.control.edit(record, timeout) {
            edit::Outcome::Accepted(revision) => Verdict::Accepted(revision),
            edit::Outcome::Refused(refusal) => {
                Verdict::Refused(format!("{}: {}", refusal.cause, refusal.detail))
            }
            edit::Outcome::NotWritten => Verdict::NotWritten,
            edit::Outcome::Undecided => Verdict::Undecided,
        })
    }

    fn behind(&self, revision: id::Revision) -> Vec<id::Daemon> {
        self.control.await_in_force(revision, Duration::ZERO)
    }

    fn peers(&self) -> Vec<(id::Daemon, String)> {
        let own_name = self.own_name();
        let others = self.control.live().into_iter();
        others
            .filter(|peer| peer.daemon != own_name)
            .map(|peer| (peer.daemon, peer.address))
            .collect()
    }
}
