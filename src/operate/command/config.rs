//! Commands that show and change the configuration.

use std::path::PathBuf;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use gumdrop::Options;

use super::show::{row, table};
use super::{FAILURE, client, seconds};
use crate::id;
use crate::operate::client::Client;
use crate::operate::{Change, Edit, Error, Line, Result, Verdict};

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

/// What to do with the configuration.
#[derive(Debug, Options)]
pub enum Command {
    /// Show it.
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
        help = "remove it by itself after this long"
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

/// Options of `config` that may also stand behind its commands.
const SHARED: [&str; 4] = ["--address", "--key-file", "--author", "--timeout"];

/// Moves the shared options of `config` in front of its command, where the parser wants them.
pub fn hoist(arguments: &[String]) -> Vec<String> {
    if arguments.first().is_none_or(|first| first != "config") {
        return arguments.to_vec();
    }
    let mut front = vec!["config".to_owned()];
    let mut rest = Vec::new();
    let mut left = arguments[1..].iter();
    while let Some(argument) = left.next() {
        let name = argument.split('=').next().unwrap_or_default();
        if !SHARED.contains(&name) {
            rest.push(argument.clone());
            continue;
        }
        front.push(argument.clone());
        if !argument.contains('=') {
            front.extend(left.next().cloned());
        }
    }
    front.append(&mut rest);
    front
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
        Command::Show(show) => return print_sheet(&client, show),
        Command::History(show) => return print_history(&client, show),
        Command::Wait(wait) => return reach(&client, wait.revision, seconds(arguments.timeout)),
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
    conclude(&client, &verdict, wait, seconds(arguments.timeout))
}

fn conclude(client: &Client, verdict: &Verdict, wait: bool, timeout: Duration) -> Result<i32> {
    match verdict {
        Verdict::Accepted(revision) => {
            say!("accepted as revision {revision}");
            if wait {
                return reach(client, *revision, timeout);
            }
            Ok(0)
        }
        Verdict::Refused(reason) => {
            say!("refused everywhere: {reason}");
            Ok(FAILURE)
        }
        Verdict::NotWritten => {
            say!("not written: the log cannot be reached; nothing changed, try again");
            Ok(FAILURE)
        }
        Verdict::Undecided => {
            say!("undecided: the log did not answer in time; see `config history` later");
            Ok(FAILURE)
        }
    }
}

fn reach(client: &Client, revision: id::Revision, timeout: Duration) -> Result<i32> {
    let reach = client.reach(revision, timeout)?;
    if reach.behind.is_empty() {
        say!("revision {revision} is in force at every live daemon");
        return Ok(0);
    }
    say!(
        "revision {revision} is not yet reached by: {}",
        reach.behind.join(", ")
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

fn print_sheet(client: &Client, show: &Show) -> Result<i32> {
    let sheet = client.sheet()?;
    if show.json {
        say!("{}", json_text(&sheet)?);
        return Ok(0);
    }
    let state = if sheet.fresh {
        "fresh"
    } else {
        "not fresh: the log was not read lately"
    };
    say!("revision {} ({state})\n", sheet.revision);
    let mut rows = vec![row([
        "SETTING",
        "SCOPE",
        "VALUE",
        "UNIT",
        "REVISION",
        "AUTHOR",
        "REASON OR MEANING",
    ])];
    rows.extend(sheet.lines.iter().map(line));
    say!("{}", table(&rows).trim_end());
    Ok(0)
}

fn line(line: &Line) -> Vec<String> {
    row([
        &line.setting,
        line.scope.as_deref().unwrap_or("-"),
        &line.value,
        &line.unit,
        &line.revision.to_string(),
        line.author.as_deref().unwrap_or("-"),
        line.reason.as_deref().unwrap_or(&line.meaning),
    ])
}

fn print_history(client: &Client, show: &Show) -> Result<i32> {
    let events = client.history()?;
    if show.json {
        say!("{}", json_text(&events)?);
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
    say!("{}", table(&rows).trim_end());
    Ok(0)
}
