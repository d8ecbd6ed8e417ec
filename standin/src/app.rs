//! Turns arguments into a task and runs it.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use getopts::{Matches, Options};
use http::Method;
use ibisweir::error::{CodeResult, ResultCode, coded, explain};
use ibisweir::name::VmName;
use ibisweir::platform::exchange;
use ibisweir_standin::fleet::FleetShape;
use ibisweir_standin::measure;
use ibisweir_standin::platform::{PlatformHandle, WorkerLine};
use ibisweir_standin::quickstart;
use ibisweir_standin::site::LOOPBACK;
use ibisweir_standin::soak::{self, BurstShape, FaultMix, SoakPlan, SoakShape};
use ibisweir_standin::worker::{WorkerHandle, WorkerShape};

const USAGE: &str = "\
ibisweir-standin shows ibisweir at work against small stand-ins, on loopback.

Usage: ibisweir-standin TASK [OPTIONS]

Tasks:
  quickstart            a whole site in one process, a load, a maintenance wave, a report
  measure path [NAME]   experiments on the request path, beside baselines
  measure fleet         experiments on planning and intent, beside baselines and lower bounds
  measure decisions     processor time of a leader's decisions, by workers and jobs
  measure backlog       processor time of a leader's decisions for one task, beside a backlog
  measure leader        processor time of a whole leader for each start
  measure capacity      state, messages, processor time and memory of control, by size
  soak                  entries as processes under drawn faults, for jobs; promises checked
  platform              a platform as a process of its own
  worker VM             a worker as a process of its own
  document SHAPE        print a document: regie, halvorsen, or WORKERSxPOOLSxCENTRES

Options:
";

/// What the command line asks for.
pub enum Invocation {
    /// Print and leave.
    Print(String),
    /// Complain and leave.
    Refuse(String),
    /// Run.
    Run(Task),
}

/// What to run.
pub enum Task {
    /// The README's main job.
    Quickstart,
    /// Experiments on the request path.
    MeasurePath {
        /// The only one to run.
        only: Option<String>,
    },
    /// Processor time of a leader's decisions.
    MeasureDecisions,
    /// Processor time of a leader's decisions for one task.
    MeasureBacklog,
    /// Processor time of a whole leader.
    MeasureLeader,
    /// State, messages, processor time and memory of control.
    MeasureCapacity,
    /// Experiments on planning and intent.
    MeasureFleet,
    /// Entries under faults.
    Soak(SoakPlan),
    /// A platform.
    Platform {
        /// Where it listens.
        listen: SocketAddr,
    },
    /// A worker.
    Worker {
        /// Its VM.
        vm: VmName,
        /// Where it listens.
        listen: SocketAddr,
        /// The platform that it registers with.
        platform: Option<SocketAddr>,
    },
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "listen", "address to listen at [127.0.0.1:0]", "ADDRESS");
    options.optopt("", "platform", "platform to register with", "ADDRESS");
    options.optopt("", "base-port", "first port of a document's workers [9000]", "PORT");
    options.optopt("", "seed", "first seed of a soak [1]", "NUMBER");
    options.optopt("", "runs", "seeds of a soak, one after the other [1]", "COUNT");
    options.optopt("", "seconds", "time of a soak under faults, for each seed [10]", "SECONDS");
    options.optopt("", "entries", "entries of a soak, a process each, 180 at most [4]", "COUNT");
    options.optopt("", "faults", "faults of a soak: usual, late or all [all]", "MIX");
    options.optopt("", "shape", "site and traffic of a soak: usual or bursts [usual]", "SHAPE");
    options.optopt("", "vms", "VMs of a soak with bursts [350]", "COUNT");
    options.optopt("", "load", "mean demand of a soak with bursts, of its VMs [60]", "PERCENT");
    options.optopt(
        "",
        "leader-gap",
        "seconds between two ends of leaderships of a soak with bursts [none]",
        "COUNT",
    );
    options.optflag("", "harm", "harm workers, log, links and leaders of a soak with bursts");
    options.optflag("", "mixed", "draw steps and widths of jobs of a soak with bursts; some fail");
    options.optopt(
        "",
        "duty",
        "ms of each 100 that most entries of a soak with bursts run for [100]",
        "COUNT",
    );
    options.optopt(
        "",
        "latency",
        "ms that links of a soak with bursts take, each way [0]",
        "COUNT",
    );
    options.optopt("", "busy", "threads of a soak with bursts that keep a core busy [0]", "COUNT");
    options.optopt("", "daemon", "program of a soak's entries [ibisweird beside this one]", "PATH");
    options.optopt("", "logs", "directory for the logs of a soak that fails", "PATH");
    options.optflag("", "keep-logs", "keep the logs of a soak that passes as well");
    options.optflag("h", "help", "show this help");
    options
}

/// Reads the command line.
pub fn read(arguments: Vec<String>) -> Invocation {
    let options = options();
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return Invocation::Refuse(format!("ibisweir-standin: {error}\n")),
    };
    let address = |flag: &str| -> Result<Option<SocketAddr>, String> {
        let text = matches.opt_str(flag);
        text.map(|text| text.parse().map_err(|_| format!("--{flag}: {text:?} is not IP:port")))
            .transpose()
    };
    let (listen, platform) = match (address("listen"), address("platform")) {
        (Ok(listen), Ok(platform)) => (listen.unwrap_or(LOOPBACK), platform),
        (Err(text), _) | (_, Err(text)) => return Invocation::Refuse(format!("{text}\n")),
    };
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["quickstart"] => Invocation::Run(Task::Quickstart),
        ["measure", "fleet"] => Invocation::Run(Task::MeasureFleet),
        ["measure", "decisions"] => Invocation::Run(Task::MeasureDecisions),
        ["measure", "backlog"] => Invocation::Run(Task::MeasureBacklog),
        ["measure", "leader"] => Invocation::Run(Task::MeasureLeader),
        ["measure", "capacity"] => Invocation::Run(Task::MeasureCapacity),
        ["measure", "path"] => Invocation::Run(Task::MeasurePath { only: None }),
        ["measure", "path", only] if measure::path::NAMES.contains(only) => {
            Invocation::Run(Task::MeasurePath { only: Some((*only).to_owned()) })
        }
        ["soak"] => soak(&matches),
        ["platform"] => Invocation::Run(Task::Platform { listen }),
        ["worker", vm] => Invocation::Run(Task::Worker { vm: VmName::from(*vm), listen, platform }),
        ["document", shape] => document(shape, matches.opt_str("base-port").as_deref()),
        _ => Invocation::Print(options.usage(USAGE)),
    }
}

fn soak(matches: &Matches) -> Invocation {
    let number = |flag: &str, default: u64| match matches.opt_str(flag) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| format!("--{flag}: {text:?} is no number\n")),
    };
    let numbers = ["seed", "runs", "seconds", "entries"].map(|flag| {
        let default = if flag == "entries" { u64::from(soak::ENTRIES) } else { 1 };
        number(flag, if flag == "seconds" { 10 } else { default })
    });
    let [seed, runs, seconds, entries] = match numbers {
        [Ok(seed), Ok(runs), Ok(seconds), Ok(entries)] => [seed, runs, seconds, entries],
        numbers => {
            let texts: String = numbers.into_iter().filter_map(Result::err).collect();
            return Invocation::Refuse(texts);
        }
    };
    let entries = match u8::try_from(entries) {
        Ok(entries) if (1..=soak::ENTRIES_MAX).contains(&entries) => entries,
        _ => return Invocation::Refuse("--entries: 1 to 180\n".to_owned()),
    };
    let faults = match matches.opt_str("faults").as_deref().map(FaultMix::parse) {
        None => FaultMix::default(),
        Some(Some(faults)) => faults,
        Some(None) => return Invocation::Refuse("--faults: usual, late or all\n".to_owned()),
    };
    let shape = match (matches.opt_str("shape").as_deref(), burst_shape(matches)) {
        (None | Some("usual"), _) => SoakShape::Usual,
        (Some("bursts"), Ok(shape)) => SoakShape::Bursts(shape),
        (Some("bursts"), Err(text)) => return Invocation::Refuse(text),
        _ => return Invocation::Refuse("--shape: usual or bursts\n".to_owned()),
    };
    let directory = std::env::temp_dir().join(format!("ibisweir-soak-{}", std::process::id()));
    Invocation::Run(Task::Soak(SoakPlan {
        daemon: matches.opt_str("daemon").map_or_else(daemon_beside, PathBuf::from),
        seed,
        runs,
        length: Duration::from_secs(seconds),
        entries,
        faults,
        shape,
        directory: matches.opt_str("logs").map_or(directory, PathBuf::from),
        keeps_logs: matches.opt_present("keep-logs"),
    }))
}

fn burst_shape(matches: &Matches) -> Result<BurstShape, String> {
    let number = |flag: &str, default: u16| match matches.opt_str(flag) {
        None => Ok(default),
        Some(text) => text.parse().map_err(|_| format!("--{flag}: {text:?} is no small number\n")),
    };
    Ok(BurstShape {
        vms: usize::from(number("vms", 350)?),
        leader_gap: Duration::from_secs(u64::from(number("leader-gap", 0)?)),
        busy: usize::from(number("busy", 0)?),
        load: u32::from(number("load", 60)?),
        is_harmed: matches.opt_present("harm"),
        is_mixed: matches.opt_present("mixed"),
        duty: Duration::from_millis(u64::from(number("duty", 0)?.min(99))),
        latency: Duration::from_millis(u64::from(number("latency", 0)?)),
    })
}

fn document(shape: &str, base_port: Option<&str>) -> Invocation {
    let Some(fleet) = fleet(shape) else {
        return Invocation::Refuse(format!("{shape:?} is no shape\n"));
    };
    let Ok(base) = base_port.unwrap_or("9000").parse::<u16>() else {
        return Invocation::Refuse("--base-port is no port\n".to_owned());
    };
    let vms = fleet.vms();
    let address = |vm: &VmName| {
        let index = vms.iter().position(|(name, _, _)| name == vm).unwrap_or(0);
        let port = base.wrapping_add(u16::try_from(index).unwrap_or(0));
        SocketAddr::new(LOOPBACK.ip(), port)
    };
    let text = serde_json::to_string_pretty(&fleet.document(address)).unwrap_or_default();
    Invocation::Print(format!("{text}\n"))
}

fn fleet(shape: &str) -> Option<FleetShape> {
    match shape {
        "regie" => Some(FleetShape::regie()),
        "halvorsen" => Some(FleetShape::halvorsen()),
        _ => {
            let mut numbers = shape.split('x').map(|number| number.parse::<u32>().ok());
            let (workers, pools, centres) = (numbers.next()??, numbers.next()??, numbers.next()??);
            (pools > 0 && centres > 0).then(|| FleetShape::of_size(workers, pools, centres))
        }
    }
}

/// Runs a task; false if a promise was broken.
pub async fn run(task: Task) -> Result<bool, String> {
    let outcome = match task {
        Task::Quickstart => quickstart::run().await,
        Task::MeasurePath { only } => measure::path::run(only.as_deref()).await,
        Task::MeasureFleet => measure::fleet::run().await,
        Task::MeasureDecisions => measure::decisions::run(),
        Task::MeasureBacklog => measure::backlog::run(),
        Task::MeasureLeader => measure::leader::run(&daemon_beside()).await,
        Task::MeasureCapacity => measure::capacity::run().await,
        Task::Soak(plan) => soak::run(&plan).await,
        Task::Platform { listen } => platform(listen).await,
        Task::Worker { vm, listen, platform } => worker(vm, listen, platform).await,
    };
    outcome.map_err(|report| explain(&report))
}

async fn platform(listen: SocketAddr) -> CodeResult<bool> {
    let platform =
        PlatformHandle::bind(listen).await.map_err(|error| coded(ResultCode::BindFailed, error))?;
    println!("platform {}", platform.address);
    std::future::pending().await
}

async fn worker(vm: VmName, listen: SocketAddr, platform: Option<SocketAddr>) -> CodeResult<bool> {
    let worker = WorkerHandle::bind(vm.clone(), listen, WorkerShape::default())
        .await
        .map_err(|error| coded(ResultCode::BindFailed, error))?;
    if let Some(platform) = platform {
        let line = serde_json::to_vec(&WorkerLine::new(vm, worker.address)).unwrap_or_default();
        while exchange(platform, Method::POST, "/v1/workers", line.clone()).await.is_err() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    println!("worker {}", worker.address);
    std::future::pending().await
}

/// The daemon's program, beside this one.
fn daemon_beside() -> PathBuf {
    std::env::current_exe().unwrap_or_default().with_file_name("ibisweird")
}
