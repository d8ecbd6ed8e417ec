//! Turns arguments and the environment into one checked value.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::{Matches, Options};
use ibisweir::jobs::model::JobId;
use ibisweir::settings::variable;

const USAGE: &str = "\
ibisweirctl checks and publishes the document that states what a fleet shall be, and shows how it is.

Usage: ibisweirctl COMMAND [OPTIONS]

Commands:
  check FILE            report every fault of a document
  publish FILE          put a document on the log, wait until it is accepted or refused
  show [REVISION]       print the document in force, or an earlier one the log still keeps
  diff REVISION [REV2]  differences between a revision and another, or the one in force
  history               publishes and what became of each
  status                who has which revision in force, pools, VMs, waves, budgets
  jobs                  entries of the job side, who leads, queues, pools, waves, doubted workers
  job ID                one job: its state, and the runs that may be alive
  keys NAME...          make a test authority and keys for entries, in --out

Examples:
  ibisweirctl check regie.json
  ibisweirctl publish regie.json --platform 10.0.0.5:7000
  ibisweirctl show --platform 10.0.0.5:7000 > edited.json      # note the revision on standard error
  ibisweirctl publish edited.json --base 17 --platform 10.0.0.5:7000
  ibisweirctl status --admin 10.0.1.1:8081,10.0.1.2:8081
  ibisweirctl jobs --entry 10.1.0.9:7060,10.2.0.23:7060
  ibisweirctl job 5c0e7a21d94b36f8 --entry 10.1.0.9:7060
  ibisweirctl keys --out keys gb-entry-1 gb-entry-2

Options:
";

const STATUSES: &str = "
Exit status: 0 done, 1 the document has faults, 2 faulty command line, 3 another document won,
4 the outcome is not known, 5 the platform or a daemon can't be reached or read, 6 no entry knows the job.
";

/// What the command line asks for.
pub enum Invocation {
    /// Print and leave.
    Print(String),
    /// Complain and leave.
    Refuse(String),
    /// Run.
    Run(Box<CommandConfig>),
}

/// A checked command line.
#[derive(Clone, Debug)]
pub struct CommandConfig {
    /// What to do.
    pub command: Command,
    /// Whether to print JSON.
    pub json: bool,
    /// Longest wait for the platform.
    pub patience: Duration,
    /// Who publishes.
    pub by: String,
}

/// What to do.
#[derive(Clone, Debug)]
pub enum Command {
    /// Report faults.
    Check {
        /// Path of the document.
        file: String,
    },
    /// Publish.
    Publish {
        /// Path of the document.
        file: String,
        /// Revision that it was edited from.
        base: Base,
        /// The platform.
        platform: SocketAddr,
    },
    /// Print a document.
    Show {
        /// The one in force if none.
        revision: Option<u64>,
        /// The platform.
        platform: SocketAddr,
    },
    /// Print differences.
    Diff {
        /// First revision.
        before: u64,
        /// Second; the one in force if none.
        after: Option<u64>,
        /// The platform.
        platform: SocketAddr,
    },
    /// Print publishes.
    History {
        /// The platform.
        platform: SocketAddr,
    },
    /// Print entries' reports.
    Status {
        /// Admin addresses.
        admins: Vec<SocketAddr>,
    },
    /// Print how entries of the job side are.
    Jobs {
        /// Addresses that entries use among themselves.
        entries: Vec<SocketAddr>,
    },
    /// Print one job.
    Job {
        /// Its id.
        id: JobId,
        /// Addresses that entries use among themselves; the first that knows the job tells.
        entries: Vec<SocketAddr>,
    },
    /// Make keys.
    Keys {
        /// Directory.
        out: String,
        /// Entries.
        names: Vec<String>,
    },
}

/// Revision that a document was edited from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// Only right for the first document.
    First,
    /// Whatever is in force when the command starts.
    Current,
    /// This one.
    Revision(u64),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "platform", "address of the platform's log, IP:port", "ADDRESS");
    options.optopt("", "base", "revision the document was edited from, or 'current'", "REVISION");
    options.optopt("", "admin", "admin addresses of entries, IP:port,IP:port", "ADDRESSES");
    options.optopt("", "entry", "peer addresses of entries of the job side", "ADDRESSES");
    options.optopt("", "out", "directory for keys", "DIR");
    options.optopt("", "by", "who publishes [the user's name]", "NAME");
    options.optopt("", "patience", "longest wait for the platform, in ms [10000]", "MS");
    options.optflag("", "json", "print JSON");
    options.optflag("h", "help", "show this help");
    options.optflag("V", "version", "show the version");
    options
}

/// Reads the command line.
pub fn read(arguments: Vec<String>) -> Invocation {
    let options = options();
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return refuse(&error.to_string()),
    };
    if matches.opt_present("help") || matches.free.is_empty() {
        return Invocation::Print(format!("{}{STATUSES}", options.usage(USAGE)));
    }
    if matches.opt_present("version") {
        return Invocation::Print(format!("ibisweirctl {}\n", env!("CARGO_PKG_VERSION")));
    }
    match config(&matches) {
        Ok(config) => Invocation::Run(Box::new(config)),
        Err(text) => refuse(&text),
    }
}

fn refuse(text: &str) -> Invocation {
    Invocation::Refuse(format!("ibisweirctl: {text}\nSee ibisweirctl --help.\n"))
}

fn config(matches: &Matches) -> Result<CommandConfig, String> {
    let patience = setting(matches, "patience").unwrap_or_else(|| "10000".to_owned());
    let patience =
        patience.parse().map_err(|_| format!("--patience: {patience:?} is no number"))?;
    let by = setting(matches, "by").or_else(|| std::env::var("USER").ok());
    Ok(CommandConfig {
        command: command(matches)?,
        json: matches.opt_present("json"),
        patience: Duration::from_millis(patience),
        by: by.unwrap_or_else(|| "operator".to_owned()),
    })
}

fn command(matches: &Matches) -> Result<Command, String> {
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["check", file] => Ok(Command::Check { file: (*file).to_owned() }),
        ["publish", file] => Ok(Command::Publish {
            file: (*file).to_owned(),
            base: base(matches)?,
            platform: platform(matches)?,
        }),
        ["show"] => Ok(Command::Show { revision: None, platform: platform(matches)? }),
        ["show", at] => {
            Ok(Command::Show { revision: Some(revision(at)?), platform: platform(matches)? })
        }
        ["diff", before] => Ok(Command::Diff {
            before: revision(before)?,
            after: None,
            platform: platform(matches)?,
        }),
        ["diff", before, after] => Ok(Command::Diff {
            before: revision(before)?,
            after: Some(revision(after)?),
            platform: platform(matches)?,
        }),
        ["history"] => Ok(Command::History { platform: platform(matches)? }),
        ["status"] => Ok(Command::Status { admins: addresses(matches, "admin")? }),
        ["jobs"] => Ok(Command::Jobs { entries: addresses(matches, "entry")? }),
        ["job", id] => Ok(Command::Job {
            id: JobId::parse(id)
                .ok_or_else(|| format!("{id:?} is not 16 hexadecimal digits in lower case"))?,
            entries: addresses(matches, "entry")?,
        }),
        ["keys", names @ ..] if !names.is_empty() => Ok(Command::Keys {
            out: matches.opt_str("out").ok_or("keys needs --out DIR")?,
            names: names.iter().map(|name| (*name).to_owned()).collect(),
        }),
        _ => Err(format!("{:?} is no command with its arguments", words.join(" "))),
    }
}

fn setting(matches: &Matches, flag: &str) -> Option<String> {
    matches.opt_str(flag).or_else(|| std::env::var(variable(flag)).ok())
}

fn platform(matches: &Matches) -> Result<SocketAddr, String> {
    let text = setting(matches, "platform").ok_or("give --platform or IBISWEIR_PLATFORM")?;
    text.parse().map_err(|_| format!("--platform: {text:?} is not IP:port"))
}

fn addresses(matches: &Matches, flag: &str) -> Result<Vec<SocketAddr>, String> {
    let text =
        setting(matches, flag).ok_or_else(|| format!("give --{flag} or {}", variable(flag)))?;
    let parse = |part: &str| part.parse().map_err(|_| format!("--{flag}: {part:?} is not IP:port"));
    text.split(',').map(parse).collect()
}

fn base(matches: &Matches) -> Result<Base, String> {
    match matches.opt_str("base").as_deref() {
        None => Ok(Base::First),
        Some("current") => Ok(Base::Current),
        Some(text) => revision(text).map(Base::Revision),
    }
}

fn revision(text: &str) -> Result<u64, String> {
    text.parse().map_err(|_| format!("{text:?} is no revision"))
}
