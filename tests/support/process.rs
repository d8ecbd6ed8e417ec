//! Programs as processes of their own; all are killed when the test ends.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use ibisweir::keys::TestAuthority;

/// A running entry.
pub struct EntryProcess {
    child: Option<Child>,
    pub callers: SocketAddr,
    pub admin: SocketAddr,
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl EntryProcess {
    /// Hands the process over to whoever watches it.
    pub fn into_parts(mut self) -> (Child, SocketAddr) {
        (self.child.take().expect("it is handed over once"), self.callers)
    }
}

/// The processes of one test, and a directory for its files.
pub struct ProcessGroup {
    children: Vec<Child>,
    directory: PathBuf,
    authority: TestAuthority,
}

impl Drop for ProcessGroup {
    fn drop(&mut self) {
        for child in &mut self.children {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

impl ProcessGroup {
    pub fn open(name: &str) -> Self {
        let directory =
            std::env::temp_dir().join(format!("ibisweir-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory for the test's files");
        let authority = TestAuthority::open().expect("a test authority");
        ProcessGroup { children: Vec::new(), directory, authority }
    }

    pub fn file(&self, name: &str, text: &str) -> String {
        let path = self.directory.join(name);
        std::fs::write(&path, text).expect("the test's file");
        path.to_string_lossy().into_owned()
    }

    /// Starts a stand-in; the address that it prints.
    pub fn standin(&mut self, arguments: &[&str]) -> String {
        let (child, line) = start(standin_program(), arguments);
        self.children.push(child);
        line.split_whitespace().last().expect("an address").to_owned()
    }

    /// Starts an entry with times fit for a test.
    pub fn entry(&self, name: &str, centre: &str, platform: &str) -> EntryProcess {
        self.entry_with(name, centre, platform, &[])
    }

    /// The same with these variables in its environment.
    pub fn entry_with(
        &self,
        name: &str,
        centre: &str,
        platform: &str,
        variables: &[(&str, &str)],
    ) -> EntryProcess {
        let keys = self.authority.entry().expect("keys");
        let any = "127.0.0.1:0";
        let arguments = [
            "--name",
            name,
            "--data-centre",
            centre,
            "--platform",
            platform,
            "--listen",
            any,
            "--admin",
            any,
            "--peer",
            any,
            "--peer-ca",
            &keys.ca,
            "--peer-cert",
            &keys.cert,
            "--peer-key",
            &keys.key,
            "--gossip",
            "100",
            "--beat",
            "100",
            "--probe",
            "500",
            "--drain-notice",
            "100",
            "--log-level",
            "error",
        ];
        let daemon = PathBuf::from(env!("CARGO_BIN_EXE_ibisweird"));
        let (child, line) = start_with(daemon, &arguments, variables);
        let words: Vec<&str> = line.split_whitespace().collect();
        let address = |index: usize| words[index].parse().expect("an address");
        EntryProcess { child: Some(child), callers: address(2), admin: address(4) }
    }

    /// Sends SIGTERM and waits for the exit status.
    pub fn terminate(&self, mut entry: EntryProcess, patience: Duration) -> Option<i32> {
        let child = entry.child.as_mut().expect("it was not handed over");
        signal(child, "-TERM");
        let started = Instant::now();
        while started.elapsed() < patience {
            if let Some(status) = child.try_wait().expect("the process can be waited for") {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        None
    }

    /// Freezes an entry, or lets it go on.
    pub fn freeze(&self, entry: &EntryProcess, frozen: bool) {
        let child = entry.child.as_ref().expect("it was not handed over");
        signal(child, if frozen { "-STOP" } else { "-CONT" });
    }
}

fn signal(child: &Child, name: &str) {
    let status = Command::new("kill").args([name, &child.id().to_string()]).status();
    assert!(status.expect("kill runs").success(), "the process takes {name}");
}

/// Runs the stand-in to its end.
pub fn run_standin(arguments: &[&str]) -> ToolRun {
    finish(Command::new(standin_program()).args(arguments))
}

fn standin_program() -> PathBuf {
    let daemon = PathBuf::from(env!("CARGO_BIN_EXE_ibisweird"));
    let program = daemon.with_file_name("ibisweir-standin");
    assert!(
        program.exists(),
        "run the tests with `cargo test --workspace`: it builds the stand-in"
    );
    program
}

/// Starts a program and reads the line that it prints when it is open.
fn start(program: PathBuf, arguments: &[&str]) -> (Child, String) {
    start_with(program, arguments, &[])
}

fn start_with(program: PathBuf, arguments: &[&str], variables: &[(&str, &str)]) -> (Child, String) {
    let mut child = Command::new(&program)
        .args(arguments)
        .envs(variables.iter().copied())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut line = String::new();
    let out = child.stdout.take().expect("its output is piped");
    BufReader::new(out).read_line(&mut line).expect("it prints a line");
    assert!(!line.is_empty(), "{} ended before it was open", program.display());
    (child, line)
}

/// What a run of `ibisweirctl` left.
#[derive(Debug)]
pub struct ToolRun {
    pub status: Option<i32>,
    pub out: String,
    pub err: String,
}

/// Runs `ibisweirctl`.
pub fn run_tool(arguments: &[&str]) -> ToolRun {
    finish(Command::new(env!("CARGO_BIN_EXE_ibisweirctl")).args(arguments))
}

fn finish(command: &mut Command) -> ToolRun {
    let output = command.output().expect("the program runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    ToolRun { status: output.status.code(), out: text(&output.stdout), err: text(&output.stderr) }
}
