//! Turns arguments and the environment into one checked value.

use std::collections::HashMap;

use ibisweir::logging::{self, LogFormat};
use ibisweir::settings::{self, EntrySettings, VARIABLE_PREFIX};

const USAGE: &str = "\
ibisweird runs one entry of ibisweir: it routes callers' requests to the workers of its data centre
and takes part in planning their maintenance.

Examples:
  An entry with its keys in files:
    ibisweird --name gb-entry-1 --data-centre grand-baie --platform 10.0.0.5:7000 \\
      --peer 10.0.1.1:8082 --peer-ca @ca.pem --peer-cert @gb-entry-1.pem --peer-key @gb-entry-1.key

  The same by the environment, as an image without disks gets it:
    IBISWEIR_NAME=gb-entry-1 IBISWEIR_DATA_CENTRE=grand-baie IBISWEIR_PLATFORM=10.0.0.5:7000 \\
      IBISWEIR_PEER=10.0.1.1:8082 IBISWEIR_PEER_CA=\"$CA_PEM\" ... ibisweird

Each setting is a flag or the variable IBISWEIR_ and the flag's name in capitals; the flag goes first.
Exit status: 0 after a graceful stop, 1 if it can't start or a stop cut requests off, 2 for faulty
settings.
";

/// What the daemon needs to run.
pub struct AppConfig {
    /// Checked settings.
    pub settings: EntrySettings,
    /// How log lines look.
    pub log_format: LogFormat,
    /// Least level that is logged.
    pub log_level: slog::Level,
}

/// What the command line asks for.
pub enum Invocation {
    /// Print and leave.
    Print(String),
    /// Complain and leave.
    Refuse(String),
    /// Run.
    Run(Box<AppConfig>),
}

/// Reads the command line and the environment.
pub fn read() -> Invocation {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.iter().any(|argument| argument == "-h" || argument == "--help") {
        return Invocation::Print(format!("{USAGE}{}", settings::help()));
    }
    if arguments.iter().any(|argument| argument == "-V" || argument == "--version") {
        return Invocation::Print(format!("ibisweird {}\n", env!("CARGO_PKG_VERSION")));
    }
    let variables: HashMap<String, String> =
        std::env::vars().filter(|(name, _)| name.starts_with(VARIABLE_PREFIX)).collect();
    match EntrySettings::read(&arguments, &variables) {
        Ok(settings) => Invocation::Run(Box::new(config(settings))),
        Err(faults) => {
            let mut text = String::new();
            for fault in faults {
                text.push_str(&format!(
                    "ibisweird: {} --{}: {}\n",
                    fault.code.number(),
                    fault.flag,
                    fault.detail
                ));
            }
            text.push_str("See ibisweird --help.\n");
            Invocation::Refuse(text)
        }
    }
}

fn config(settings: EntrySettings) -> AppConfig {
    let log_format = match settings.text("log-format") {
        "terminal" => LogFormat::Terminal,
        _ => LogFormat::Json,
    };
    let log_level = logging::level(settings.text("log-level"));
    AppConfig { settings, log_format, log_level }
}
