//! Commands that show and change the configuration.

use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gumdrop::Options;

use super::table::{row, table};
use super::{FAILURE, client, seconds};
use crate::id;
use crate::operate::client::Client;
use crate::operate::{Change, Edit, Error, Result, SettingValue, Verdict};

/// Shows or changes fleet-wide defaults and exceptions.
#[derive(Debug, Options)]
pub struct Arguments {
    #[options(help = "print help")]
    help: bool,
    #[options(
        no_short,
        meta = "IP:PORT",
        default = "127.0.0.1:8081",
        help = "the operators' address of any daemon"
    )]
    address: String,
    #[options(no_short, meta = "FILE", help = "a file that holds the operators' key")]
    key_file: Option<PathBuf>,
    #[options(
        no_short,
        meta = "NAME",
        help = "who makes the change; the user by default"
    )]
    author: Option<String>,
    #[options(
        no_short,
        meta = "SECONDS",
        default = "10",
        help = "how long to wait for the verdict, and for the fleet"
    )]
    timeout: u64,
    #[options(command)]
    command: Option<Command>,
}

/// The command of `config`.
#[derive(Debug, Options)]
pub enum Command {
    /// Show the configuration.
    #[options(help = "show defaults and exceptions, each with its reason")]
    Show(Show),
    /// Set a default.
    #[options(help = "set a fleet-wide default: set SETTING VALUE --reason TEXT")]
    Set(Set),
    /// Add an exception.
    #[options(help = "add an exception: except SETTING LEVEL:NAME VALUE --reason TEXT")]
    Except(Except),
    /// Remove a default or an exception.
    #[options(help = "remove a default or exception: remove SETTING [LEVEL:NAME] --reason TEXT")]
    Remove(Remove),
    /// Undo a change.
    #[options(help = "undo an accepted change by a new one: rollback REVISION")]
    Rollback(Rollback),
    /// Show accepted changes.
    #[options(help = "show accepted changes, oldest first")]
    History(Show),
    /// Wait until a revision is in force everywhere.
    #[options(help = "wait until a revision is in force at every live daemon: wait REVISION")]
    Wait(Wait),
}

/// Prints a table, or JSON.
#[derive(Debug, Options)]
pub struct Show {
    #[options(help = "print help")]
    help: bool,
    #[options(no_short, help = "print JSON")]
    json: bool,
}

/// Sets a fleet-wide default.
#[derive(Debug, Options)]
pub struct Set {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "the setting")]
    setting: String,
    #[options(free, required, help = "the value")]
    value: String,
    #[options(no_short, required, meta = "TEXT", help = "why")]
    reason: String,
    #[options(no_short, meta = "REVISION", help = "the revision that you saw")]
    base: Option<id::Revision>,
    #[options(no_short, help = "wait until it is in force everywhere")]
    wait: bool,
}

/// Adds an exception to a default.
#[derive(Debug, Options)]
pub struct Except {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "the setting")]
    setting: String,
    #[options(free, required, help = "LEVEL:NAME, such as workspace:parents")]
    scope: String,
    #[options(free, required, help = "the value")]
    value: String,
    #[options(no_short, required, meta = "TEXT", help = "why")]
    reason: String,
    #[options(
        no_short,
        meta = "SECONDS",
        help = "remove it automatically after this time"
    )]
    expires: Option<u64>,
    #[options(no_short, meta = "REVISION", help = "the revision that you saw")]
    base: Option<id::Revision>,
    #[options(no_short, help = "wait until it is in force everywhere")]
    wait: bool,
}

/// Returns to the built-in default, or removes an exception.
#[derive(Debug, Options)]
pub struct Remove {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "the setting")]
    setting: String,
    #[options(free, help = "LEVEL:NAME of an exception")]
    scope: Option<String>,
    #[options(no_short, required, meta = "TEXT", help = "why")]
    reason: String,
    #[options(no_short, meta = "REVISION", help = "the revision that you saw")]
    base: Option<id::Revision>,
    #[options(no_short, help = "wait until it is in force everywhere")]
    wait: bool,
}

/// Undoes an accepted change by a new change.
#[derive(Debug, Options)]
pub struct Rollback {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "the revision to undo")]
    revision: id::Revision,
    #[options(no_short, help = "wait until it is in force everywhere")]
    wait: bool,
}

/// Waits until a revision is in force at every live daemon.
#[derive(Debug, Options)]
pub struct Wait {
    #[options(help = "print help")]
    help: bool,
    #[options(free, required, help = "the revision")]
    revision: id::Revision,
}

/// Options of `config` that may also follow its commands.
const SHARED_OPTIONS: [&str; 4] = ["--address", "--key-file", "--author", "--timeout"];

/// Moves the shared options of `config` in front of its command, where the parser expects them.
pub fn hoist(arguments: &[String]) -> Vec<String> {
    if arguments.first().is_none_or(|first| first != "config") {
        return arguments.to_vec();
    }
    let mut hoisted = vec!["config".to_owned()];
    let mut rest = Vec::new();
    let mut remaining = arguments[1..].iter();
    while let Some(argument) = remaining.next() {
        let name = argument.split('=').next().unwrap_or_default();
        if !SHARED_OPTIONS.contains(&name) {
            rest.push(argument.clone());
            continue;
        }
        hoisted.push(argument.clone());
        if !argument.contains('=') {
            hoisted.extend(remaining.next().cloned());
        }
    }
    hoisted.append(&mut rest);
    hoisted
}

/// Runs a `config` command.
pub fn run(arguments: &Arguments) -> Result<i32> {
    let Some(command) = &arguments.command else {
        return Err(Error::Input {
            reason: "config needs one of: show, set, except, remove, rollback, history, wait"
                .into(),
        });
    };
    let client = client(&arguments.address, arguments.key_file.as_ref())?;
    let (change, wait) = match command {
        Command::Show(show) => return print_config(&client, show),
        Command::History(show) => return print_history(&client, show),
        Command::Wait(wait) => {
            return await_in_force(&client, wait.revision, seconds(arguments.timeout));
        }
        Command::Set(set) => (set.change(), set.wait),
        Command::Except(except) => (except.change(), except.wait),
        Command::Remove(remove) => (remove.change(), remove.wait),
        Command::Rollback(rollback) => (rollback.change(), rollback.wait),
    };
    let author = arguments
        .author
        .clone()
        .or_else(|| std::env::var("USER").ok());
    let edit = Edit {
        author: author.unwrap_or_else(|| "operator".into()),
        change,
    };
    let verdict = client.edit(&edit, seconds(arguments.timeout))?;
    print_verdict(&client, &verdict, wait, seconds(arguments.timeout))
}

fn print_verdict(client: &Client, verdict: &Verdict, wait: bool, timeout: Duration) -> Result<i32> {
    match verdict {
        Verdict::Accepted(revision) => {
            print_line!("accepted as revision {revision}");
            if wait {
                return await_in_force(client, *revision, timeout);
            }
            Ok(0)
        }
        Verdict::Refused(reason) => {
            print_line!("refused everywhere: {reason}");
            Ok(FAILURE)
        }
        Verdict::NotWritten => {
            print_line!("not written: the log cannot be reached; nothing changed, try again");
            Ok(FAILURE)
        }
        Verdict::Undecided => {
            print_line!("undecided: the log did not answer in time; see `config history` later");
            Ok(FAILURE)
        }
    }
}

fn await_in_force(client: &Client, revision: id::Revision, timeout: Duration) -> Result<i32> {
    let rollout = client.await_in_force(revision, timeout)?;
    if rollout.behind.is_empty() {
        print_line!("revision {revision} is in force at every live daemon");
        return Ok(0);
    }
    print_line!(
        "revision {revision} is not yet reached by: {}",
        rollout.behind.join(", ")
    );
    Ok(FAILURE)
}

impl Set {
    fn change(&self) -> Change {
        Change::Set {
            setting: self.setting.clone(),
            scope: None,
            value: self.value.clone(),
            reason: self.reason.clone(),
            expires_ms: None,
            base: self.base,
        }
    }
}

impl Except {
    fn change(&self) -> Change {
        let expires = self.expires.map(|after| {
            let end = SystemTime::now() + seconds(after);
            let since = end.duration_since(UNIX_EPOCH).unwrap_or_default();
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        });
        Change::Set {
            setting: self.setting.clone(),
            scope: Some(self.scope.clone()),
            value: self.value.clone(),
            reason: self.reason.clone(),
            expires_ms: expires,
            base: self.base,
        }
    }
}

impl Remove {
    fn change(&self) -> Change {
        Change::Clear {
            setting: self.setting.clone(),
            scope: self.scope.clone(),
            reason: self.reason.clone(),
            base: self.base,
        }
    }
}

impl Rollback {
    fn change(&self) -> Change {
        Change::Rollback {
            revision: self.revision,
        }
    }
}

fn json_text(value: &impl serde::Serialize) -> Result<String> {
    serde_json::to_string(value).map_err(|e| Error::Input {
        reason: e.to_string(),
    })
}

fn print_config(client: &Client, show: &Show) -> Result<i32> {
    let config = client.config()?;
    if show.json {
        print_line!("{}", json_text(&config)?);
        return Ok(0);
    }
    let state = if config.fresh {
        "fresh"
    } else {
        "not fresh: the log was not read recently"
    };
    print_line!("revision {} ({state})\n", config.revision);
    let mut rows = vec![row([
        "SETTING",
        "SCOPE",
        "VALUE",
        "UNIT",
        "REVISION",
        "AUTHOR",
        "REASON OR MEANING",
    ])];
    rows.extend(config.values.iter().map(setting_row));
    print_line!("{}", table(&rows).trim_end());
    Ok(0)
}

fn setting_row(entry: &SettingValue) -> Vec<String> {
    row([
        &entry.setting,
        entry.scope.as_deref().unwrap_or("-"),
        &entry.value,
        &entry.unit,
        &entry.revision.to_string(),
        entry.author.as_deref().unwrap_or("-"),
        entry.reason.as_deref().unwrap_or(&entry.meaning),
    ])
}

fn print_history(client: &Client, show: &Show) -> Result<i32> {
    let events = client.history()?;
    if show.json {
        print_line!("{}", json_text(&events)?);
        return Ok(0);
    }
    let mut rows = vec![row([
        "REVISION", "AUTHOR", "SETTING", "SCOPE", "BEFORE", "AFTER", "REASON",
    ])];
    rows.extend(events.iter().map(|e| {
        row([
            &e.revision.to_string(),
            &e.author,
            &e.setting,
            e.scope.as_deref().unwrap_or("-"),
            e.before.as_deref().unwrap_or("-"),
            e.after.as_deref().unwrap_or("-"),
            &e.reason,
        ])
    }));
    print_line!("{}", table(&rows).trim_end());
    Ok(0)
}
