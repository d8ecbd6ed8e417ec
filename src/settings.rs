//! Settings of the daemon, from flags and environment variables.
//!
//! One table names every setting once: flag, variable, default, range and help. A flag goes before
//! its variable. All faults are reported together, each with the flag's name, so that a first start
//! needs one correction and not five.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use getopts::Options;

use crate::decide::fleet::AUTONOMY_MS;
use crate::error::ResultCode;
use crate::name::{CentreName, is_well_formed};

/// How a setting's text is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingKind {
    /// IP:port.
    Address,
    /// IP:port that others can reach, so not 0.0.0.0.
    OwnAddress,
    /// IP:port, any number of them with commas between.
    Addresses,
    /// A whole number within bounds, in the unit that the help names.
    Number {
        /// Least value.
        low: u64,
        /// Greatest value.
        high: u64,
    },
    /// A name as documents use them.
    Name,
    /// One of a few words.
    Word(&'static [&'static str]),
    /// PEM text, or `@` and the path of a file that holds it.
    Pem,
}

/// One setting.
#[derive(Clone, Copy, Debug)]
pub struct SettingSpec {
    /// Long flag, without the dashes.
    pub flag: &'static str,
    /// Text used where neither flag nor variable is given; none if it must be given.
    pub default: Option<&'static str>,
    /// How the text is read.
    pub kind: SettingKind,
    /// Group under which the help shows it.
    pub group: &'static str,
    /// One line of help.
    pub help: &'static str,
}

const fn number(
    group: &'static str,
    flag: &'static str,
    default: &'static str,
    low: u64,
    high: u64,
    help: &'static str,
) -> SettingSpec {
    SettingSpec {
        flag,
        default: Some(default),
        kind: SettingKind::Number { low, high },
        group,
        help,
    }
}

const fn address(
    group: &'static str,
    flag: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> SettingSpec {
    SettingSpec { flag, default, kind: SettingKind::Address, group, help }
}

const PLACE: &str = "Where it runs";
const CALLERS: &str = "Callers";
const TARGETS: &str = "Targets";
const PLATFORM: &str = "Platform and peers";
const KEYED: &str = "Idempotency keys";
const FLEET: &str = "Stewardship";

/// Every setting of `ibisweird`, in the order of its help.
pub const SETTINGS: &[SettingSpec] = &[
    SettingSpec {
        flag: "name",
        default: None,
        kind: SettingKind::Name,
        group: PLACE,
        help: "name of this entry VM",
    },
    SettingSpec {
        flag: "data-centre",
        default: None,
        kind: SettingKind::Name,
        group: PLACE,
        help: "data centre of this entry VM, as in the document",
    },
    address(PLACE, "listen", Some("0.0.0.0:8080"), "address for callers"),
    address(PLACE, "admin", Some("127.0.0.1:8081"), "address for metrics, readiness and status"),
    SettingSpec {
        flag: "peer",
        default: None,
        kind: SettingKind::OwnAddress,
        group: PLACE,
        help: "UDP address where other entries reach this one",
    },
    SettingSpec {
        flag: "log-format",
        default: Some("json"),
        kind: SettingKind::Word(&["json", "terminal"]),
        group: PLACE,
        help: "json or terminal",
    },
    SettingSpec {
        flag: "log-level",
        default: Some("info"),
        kind: SettingKind::Word(&["error", "warning", "info", "debug"]),
        group: PLACE,
        help: "error, warning, info or debug",
    },
    number(CALLERS, "body-max", "1048576", 1, 64 << 20, "largest request body, in bytes"),
    number(CALLERS, "answer-max", "4194304", 1, 64 << 20, "largest answer body, in bytes"),
    number(CALLERS, "head-max", "16384", 8_192, 1 << 20, "largest request head, in bytes"),
    number(CALLERS, "head-timeout", "10000", 10, 600_000, "time for a request's head, in ms"),
    number(CALLERS, "body-timeout", "10000", 10, 600_000, "time for a request's body, in ms"),
    number(CALLERS, "callers-max", "4096", 1, 1 << 20, "most caller connections at a time"),
    number(CALLERS, "memory-mb", "2048", 32, 1 << 20, "memory of the process, in MB"),
    number(CALLERS, "max-fds", "20000", 256, 1 << 20, "descriptors of the process"),
    number(
        CALLERS,
        "drain-time",
        "30000",
        0,
        600_000,
        "longest wait for requests at a stop, in ms",
    ),
    number(CALLERS, "drain-notice", "1000", 0, 60_000, "time not ready before a stop, in ms"),
    SettingSpec {
        flag: "slot-policy",
        default: Some("borrow"),
        kind: SettingKind::Word(&["borrow", "static", "two-choices", "round-robin"]),
        group: TARGETS,
        help: "how entries share a worker's slots: borrow, or a baseline",
    },
    number(TARGETS, "connect-timeout", "500", 1, 60_000, "time to open a connection, in ms"),
    number(
        TARGETS,
        "proof-age",
        "1000",
        1,
        600_000,
        "age of a proof that a connection lives, in ms",
    ),
    number(
        TARGETS,
        "probe-timeout",
        "250",
        1,
        60_000,
        "time for a worker to answer a probe, in ms",
    ),
    number(
        TARGETS,
        "stall-floor",
        "250",
        1,
        600_000,
        "least time without progress before another try, in ms",
    ),
    number(
        TARGETS,
        "linger",
        "60000",
        0,
        600_000,
        "time a connection given up still counts, in ms",
    ),
    number(TARGETS, "attempts", "3", 1, 10, "most attempts of one request"),
    number(TARGETS, "retry-percent", "20", 0, 100, "retries, in percent of requests"),
    number(
        TARGETS,
        "eject-time",
        "2000",
        1,
        600_000,
        "time that a failing worker is left out, in ms",
    ),
    address(PLATFORM, "platform", None, "address of the platform's log and member list"),
    number(
        PLATFORM,
        "platform-timeout",
        "2000",
        10,
        60_000,
        "time for the platform to answer, in ms",
    ),
    number(PLATFORM, "poll", "1000", 10, 60_000, "longest wait of one read of the log, in ms"),
    number(PLATFORM, "gossip", "1000", 10, 60_000, "time between messages to a peer, in ms"),
    SettingSpec {
        flag: "seeds",
        default: Some(""),
        kind: SettingKind::Addresses,
        group: PLATFORM,
        help: "peers to ask while the platform is away, IP:port,IP:port",
    },
    SettingSpec {
        flag: "peer-ca",
        default: None,
        kind: SettingKind::Pem,
        group: PLATFORM,
        help: "authority of the peers' certificates, PEM or @file",
    },
    SettingSpec {
        flag: "peer-cert",
        default: None,
        kind: SettingKind::Pem,
        group: PLATFORM,
        help: "certificate of this entry, PEM or @file",
    },
    SettingSpec {
        flag: "peer-key",
        default: None,
        kind: SettingKind::Pem,
        group: PLATFORM,
        help: "private key of this entry, PEM or @file",
    },
    number(
        KEYED,
        "key-window",
        "600000",
        1_000,
        AUTONOMY_MS,
        "age up to which keys are taken, in ms",
    ),
    number(KEYED, "key-lease", "3000", 100, 60_000, "age of a proof of ownership, in ms"),
    number(KEYED, "key-skew", "2000", 0, 60_000, "margin for callers' clocks, in ms"),
    number(
        KEYED,
        "key-autonomy",
        "7200000",
        1_000,
        AUTONOMY_MS,
        "time that keys are run without the platform, in ms",
    ),
    number(KEYED, "keys-max", "100000", 1, 10_000_000, "keys remembered"),
    number(FLEET, "beat", "1000", 10, 60_000, "time between a steward's planning steps, in ms"),
    number(FLEET, "steward-timeout", "5000", 100, 600_000, "silence before a claim, in ms"),
    number(FLEET, "entry-timeout", "5000", 100, 600_000, "silence before an eviction, in ms"),
    number(FLEET, "probe", "30000", 10, 600_000, "time between two probes of a worker, in ms"),
    number(FLEET, "lost-after", "6000", 100, 3_600_000, "silence after which a VM is lost, in ms"),
    number(
        FLEET,
        "replace-after",
        "300000",
        100,
        86_400_000,
        "time a lost VM gets to come back, in ms",
    ),
    number(
        FLEET,
        "drain-estimate",
        "300000",
        100,
        86_400_000,
        "time that a drain and reboot take, in ms",
    ),
    number(
        FLEET,
        "restate-time",
        "600000",
        100,
        86_400_000,
        "time between two restatements, in ms",
    ),
    number(FLEET, "restate", "256", 8, 1 << 20, "records between two restatements"),
];

/// Prefix of every variable.
pub const VARIABLE_PREFIX: &str = "IBISWEIR_";

/// One fault in the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct SettingFault {
    /// Numbered code.
    pub code: ResultCode,
    /// Flag, without the dashes.
    pub flag: String,
    /// What is wrong.
    pub detail: String,
}

/// Checked settings of one entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    values: HashMap<&'static str, String>,
}

/// The variable of a flag.
pub fn variable(flag: &str) -> String {
    format!("{VARIABLE_PREFIX}{}", flag.replace('-', "_").to_uppercase())
}

/// The options of `ibisweird`.
pub fn options() -> Options {
    let mut options = Options::new();
    for spec in SETTINGS {
        options.optopt("", spec.flag, spec.help, "VALUE");
    }
    options.optflag("h", "help", "show this help");
    options.optflag("V", "version", "show the version");
    options
}

/// Help text of the settings, by group.
pub fn help() -> String {
    let mut text = String::new();
    let mut group = "";
    for spec in SETTINGS {
        if spec.group != group {
            group = spec.group;
            text.push_str(&format!("\n{group}:\n"));
        }
        let default = match spec.default {
            None => "must be given".to_owned(),
            Some("") => "none".to_owned(),
            Some(default) => default.to_owned(),
        };
        text.push_str(&format!("  --{:<18} {} [{default}]\n", spec.flag, spec.help));
    }
    text
}

impl EntrySettings {
    /// Reads and checks every setting; `variables` are the environment's.
    pub fn read(
        arguments: &[String],
        variables: &HashMap<String, String>,
    ) -> Result<EntrySettings, Vec<SettingFault>> {
        let matches = options().parse(arguments).map_err(|error| vec![unknown(&error)])?;
        let mut faults = Vec::new();
        if let Some(word) = matches.free.first() {
            let detail = format!("{word:?} is not a setting");
            let code = ResultCode::SettingUnknown;
            faults.push(SettingFault { code, flag: word.clone(), detail });
        }
        let mut values = HashMap::new();
        for spec in SETTINGS {
            let given = matches.opt_str(spec.flag);
            let given = given.or_else(|| variables.get(&variable(spec.flag)).cloned());
            let Some(text) = given.or_else(|| spec.default.map(str::to_owned)) else {
                let detail = format!("give --{} or {}", spec.flag, variable(spec.flag));
                faults.push(spec.fault(ResultCode::SettingMissing, detail));
                continue;
            };
            match spec.checked(&text) {
                Ok(text) => drop(values.insert(spec.flag, text)),
                Err(fault) => faults.push(fault),
            }
        }
        if faults.is_empty() { Ok(EntrySettings { values }) } else { Err(faults) }
    }

    /// Text of a setting.
    pub fn text(&self, flag: &str) -> &str {
        self.values.get(flag).map_or("", String::as_str)
    }

    /// Value of a number.
    pub fn number(&self, flag: &str) -> u64 {
        self.text(flag).parse().expect("numbers were checked when the settings were read")
    }

    /// Value of a count or a size.
    pub fn count(&self, flag: &str) -> usize {
        usize::try_from(self.number(flag)).unwrap_or(usize::MAX)
    }

    /// Value of a time in milliseconds.
    pub fn time(&self, flag: &str) -> Duration {
        Duration::from_millis(self.number(flag))
    }

    /// Value of an address.
    pub fn address(&self, flag: &str) -> SocketAddr {
        self.text(flag).parse().expect("addresses were checked when the settings were read")
    }

    /// Values of a list of addresses.
    pub fn addresses(&self, flag: &str) -> Vec<SocketAddr> {
        self.text(flag).split(',').filter_map(|part| part.parse().ok()).collect()
    }

    /// Data centre of this entry.
    pub fn centre(&self) -> CentreName {
        CentreName::from(self.text("data-centre"))
    }
}

impl SettingSpec {
    fn fault(&self, code: ResultCode, detail: String) -> SettingFault {
        SettingFault { code, flag: self.flag.to_owned(), detail }
    }

    fn checked(&self, text: &str) -> Result<String, SettingFault> {
        let unreadable = |what: &str| {
            self.fault(ResultCode::SettingUnreadable, format!("{text:?} is not {what}"))
        };
        match self.kind {
            SettingKind::Address => {
                text.parse::<SocketAddr>().map_err(|_| unreadable("IP:port"))?;
            }
            SettingKind::OwnAddress => {
                let address: SocketAddr = text.parse().map_err(|_| unreadable("IP:port"))?;
                if address.ip().is_unspecified() {
                    let detail = format!("{address}: others need this VM's own address");
                    return Err(self.fault(ResultCode::SettingRange, detail));
                }
            }
            SettingKind::Addresses => {
                for part in text.split(',').filter(|part| !part.is_empty()) {
                    part.parse::<SocketAddr>().map_err(|_| unreadable("IP:port,IP:port"))?;
                }
            }
            SettingKind::Number { low, high } => {
                let value: u64 = text.parse().map_err(|_| unreadable("a whole number"))?;
                if !(low..=high).contains(&value) {
                    let detail = format!("{value} is not within {low} to {high}");
                    return Err(self.fault(ResultCode::SettingRange, detail));
                }
            }
            SettingKind::Name => {
                if !is_well_formed(text) {
                    return Err(unreadable("a name of a-z, 0-9, '-' and '.'"));
                }
            }
            SettingKind::Word(words) => {
                if !words.contains(&text) {
                    return Err(unreadable(&format!("one of {}", words.join(", "))));
                }
            }
            SettingKind::Pem => {
                if let Some(path) = text.strip_prefix('@') {
                    let pem = std::fs::read_to_string(path);
                    return pem.map_err(|error| unreadable(&format!("a readable file: {error}")));
                }
            }
        }
        Ok(text.to_owned())
    }
}

fn unknown(error: &getopts::Fail) -> SettingFault {
    let flag = match error {
        getopts::Fail::ArgumentMissing(flag)
        | getopts::Fail::UnrecognizedOption(flag)
        | getopts::Fail::OptionMissing(flag)
        | getopts::Fail::OptionDuplicated(flag)
        | getopts::Fail::UnexpectedArgument(flag) => flag.clone(),
    };
    SettingFault { code: ResultCode::SettingUnknown, flag, detail: error.to_string() }
}
